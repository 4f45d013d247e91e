#include <cstdio>

int main() {
  std::fputs("skylarkhoist: no command given\n", stderr);
  return 2;
}
