#ifndef DECISIONS_RETRY_CREDIT_H_
#define DECISIONS_RETRY_CREDIT_H_

namespace skylarkhoist {

// Retry credit of a chain when the settings of its entry have no other value.
constexpr int kDefaultRetryCredit = 3;

// One holder's part of the retry credit of a chain. Credit is only moved and
// spent, never created, so that the additional executions in a chain never
// exceed its initial credit, at any depth and fan-out.
//
//   const int lent = credit.LendAll();        // entry to executor: the entry
//                                             // can't retry meanwhile
//   const int lent = credit.LendShare();      // for one of several child calls
//   credit.Return(lent, answer.credit_left);  // when the answer arrives
//   if (credit.Spend()) { retry }
//
// When an answer is lost, the credit lent with its call counts as spent.
class retry_credit {
 public:
  explicit retry_credit(int initial = kDefaultRetryCredit)
      : available_(initial > 0 ? initial : 0) {}

  int available() const { return available_; }

  // Lends all credit to one call.
  int LendAll();

  // Lends half of the credit, rounded up, so that concurrent calls all get a
  // share.
  int LendShare();

  // Takes back what is left of `lent`. A value above `lent`, which a faulty
  // peer may send, is capped at it.
  void Return(int lent, int left);

  // Spends credit for one retry. Returns false when none is left.
  bool Spend();

 private:
  int available_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RETRY_CREDIT_H_
