#include "config/rfc3339.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace foxtailrudder {
namespace {

using std::chrono::nanoseconds;

constexpr std::chrono::sys_days kEarliest{std::chrono::year(1970) / 1 / 1};
constexpr std::chrono::sys_days kEnd{std::chrono::year(2200) / 1 / 1};

// Reads the text from left to right. A mismatch in Digits or Expect makes ok() false for good.
class Cursor {
 public:
  explicit Cursor(std::string_view text) : m_rest(text) {}

  bool ok() const { return m_ok; }
  bool AtEnd() const { return m_rest.empty(); }

  int Digits(std::size_t count) {
    int value = 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (!NextIsDigit()) {
        m_ok = false;
        return 0;
      }
      value = value * 10 + (Take() - '0');
    }
    return value;
  }

  void Expect(char wanted) {
    if (!Accept(wanted)) m_ok = false;
  }

  bool Accept(char wanted) {
    if (m_rest.empty() || m_rest.front() != wanted) return false;
    Take();
    return true;
  }

  bool NextIsDigit() const { return !m_rest.empty() && m_rest[0] >= '0' && m_rest[0] <= '9'; }

  char Take() {
    const char first = m_rest.front();
    m_rest.remove_prefix(1);
    return first;
  }

 private:
  std::string_view m_rest;
  bool m_ok = true;
};

nanoseconds ParseFraction(Cursor& cursor) {
  if (!cursor.Accept('.')) return nanoseconds(0);
  nanoseconds fraction(cursor.Digits(1) * 100'000'000LL);
  for (std::int64_t unit = 10'000'000; cursor.NextIsDigit(); unit /= 10) {
    fraction += nanoseconds((cursor.Take() - '0') * unit);
  }
  return fraction;
}

// Returns nullopt if the offset is malformed.
std::optional<std::chrono::minutes> ParseOffset(Cursor& cursor) {
  if (cursor.Accept('Z') || cursor.Accept('z')) return std::chrono::minutes(0);
  const bool negative = cursor.Accept('-');
  if (!negative) cursor.Expect('+');
  const int hours = cursor.Digits(2);
  cursor.Expect(':');
  const int minutes = cursor.Digits(2);
  if (!cursor.ok() || hours > 23 || minutes > 59) return std::nullopt;
  const std::chrono::minutes offset(hours * 60 + minutes);
  return negative ? -offset : offset;
}

}  // namespace

std::optional<WallTime> ParseRfc3339(std::string_view text) {
  Cursor cursor(text);
  const int year = cursor.Digits(4);
  cursor.Expect('-');
  const int month = cursor.Digits(2);
  cursor.Expect('-');
  const int day = cursor.Digits(2);
  if (!cursor.Accept('T')) cursor.Expect('t');
  const int hour = cursor.Digits(2);
  cursor.Expect(':');
  const int minute = cursor.Digits(2);
  cursor.Expect(':');
  const int second = cursor.Digits(2);
  const nanoseconds fraction = ParseFraction(cursor);
  const auto offset = ParseOffset(cursor);
  if (!cursor.ok() || !offset || !cursor.AtEnd()) return std::nullopt;

  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(static_cast<unsigned>(month)),
                                         std::chrono::day(static_cast<unsigned>(day))};
  if (!date.ok()) return std::nullopt;
  // The date is checked first because a distant date overflows WallTime. The check allows one day
  // more on each side because the offset is applied later.
  const std::chrono::sys_days midnight(date);
  if (midnight < kEarliest - std::chrono::days(1) || midnight > kEnd) return std::nullopt;
  if (hour > 23 || minute > 59 || second > 60) return std::nullopt;
  const WallTime time = WallTime(midnight) + std::chrono::hours(hour) +
                        std::chrono::minutes(minute) + std::chrono::seconds(second) + fraction -
                        *offset;
  if (time < WallTime(kEarliest) || time >= WallTime(kEnd)) return std::nullopt;
  return time;
}

std::string FormatRfc3339(WallTime time) {
  const auto days = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss<nanoseconds> clock(time - days);
  std::array<char, 48> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%09lld",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()),
                static_cast<long long>(clock.subseconds().count()));
  std::string text(buffer.data());
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text + "Z";
}

}  // namespace foxtailrudder
