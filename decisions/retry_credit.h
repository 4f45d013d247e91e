#ifndef DECISIONS_RETRY_CREDIT_H_
#define DECISIONS_RETRY_CREDIT_H_

namespace skylarkhoist {

// Credit that a chain starts with when its entry has no other figure.
constexpr int kDefaultRetryCredit = 3;

// The part of a chain's retry credit that one holder has. Credit is moved and
// spent, never made, so the extra executions in a chain are at most its initial
// credit, at any depth and fan-out.
//
//   const int lent = credit.LendAll();        // entry to executor: the entry
//                                             // can't retry meanwhile
//   const int lent = credit.LendShare();      // for one of several child calls
//   credit.Return(lent, answer.credit_left);  // when the answer arrives
//   if (credit.Spend()) { retry }
//
// When an answer is lost, what was lent with its call counts as spent.
class retry_credit {
 public:
  explicit retry_credit(int initial = kDefaultRetryCredit)
      : available_(initial > 0 ? initial : 0) {}

  int available() const { return available_; }

  // Takes everything for one call.
  int LendAll();

  // Takes half, rounded up, so that calls made at the same time get a share
  // each.
  int LendShare();

  // Puts back what is left of `lent`. A figure above `lent`, as a faulty peer
  // may send, is cut to it.
  void Return(int lent, int left);

  // Pays for one retry. Returns false when there is nothing left.
  bool Spend();

 private:
  int available_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RETRY_CREDIT_H_
