#include "app/internal/state_watcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

class NoLog : public DecisionLog {
 public:
  void Record(DecisionClass /*kind*/, std::string_view /*event*/, std::string_view /*job*/,
              std::initializer_list<LogField> /*fields*/) override {}
};

/// A store behind a link with a delay. Calls that are not answered by their deadline fail then.
class DelayedStore : public StateStore {
 public:
  explicit DelayedStore(boost::asio::io_context& loop) : m_loop(loop) {}

  void ReadAll(SteadyTime deadline, std::function<void(StateRead)> done) override {
    ++reads;
    const bool is_lost = reads <= lost_reads;
    Answer({StateReadStatus::kOk, true, {}, version, 0, {}}, milliseconds(0), deadline, is_lost,
           done);
  }

  void Watch(Version cursor, SteadyTime deadline, std::function<void(StateRead)> done) override {
    ++watches;
    Answer({StateReadStatus::kOk, false, {}, cursor, 0, {}}, milliseconds(1'000), deadline, false,
           done);
  }

  void WriteEntryAddress(const std::string& /*address*/,
                         std::function<void(bool)> /*done*/) override {}
  void ReadEntryAddresses(std::function<void(EntryAddressesRead)> /*done*/) override {}

  Version version = 7;
  milliseconds delay{0};
  int lost_reads = 0;
  /// If false, a lost call never completes.
  bool keeps_deadlines = true;
  int reads = 0;
  int watches = 0;

 private:
  void Answer(StateRead read, milliseconds wait, SteadyTime deadline, bool is_lost,
              const std::function<void(StateRead)>& done) {
    const SteadyTime answer_at = std::chrono::steady_clock::now() + wait + delay;
    if (is_lost && !keeps_deadlines) return;
    const bool fails = is_lost || answer_at > deadline;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, fails ? deadline : answer_at);
    timer->async_wait(
        [timer, fails, read = std::move(read), done](boost::system::error_code error) {
          if (!error) done(fails ? StateRead{} : read);
        });
  }

  boost::asio::io_context& m_loop;
};

struct Fixture {
  boost::asio::io_context loop{1};
  NoLog log;
  DelayedStore store{loop};
  std::vector<StateRead> received;
  StateWatcher watcher{loop, store, log,
                       [this](const StateRead& read) { received.push_back(read); }};

  void RunFor(milliseconds time) {
    watcher.Start();
    loop.run_for(time);
    watcher.Stop();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(state_watcher, Fixture)

// Guards against a read of the documents that never ends on a link whose delay exceeds the time
// after which a call is repeated (issue 23): each was given up and began anew.
BOOST_AUTO_TEST_CASE(a_read_that_is_overdue_still_delivers_the_documents) {
  store.delay = milliseconds(1'300);
  RunFor(milliseconds(2'000));
  BOOST_TEST_REQUIRE(!received.empty());
  BOOST_TEST(received[0].cursor == 7U);
  BOOST_TEST(store.watches >= 1);
}

// Guards against a lost call that delays the documents: another one is made once it is overdue.
BOOST_AUTO_TEST_CASE(a_lost_read_is_repeated_while_it_is_open) {
  store.lost_reads = 1;
  RunFor(milliseconds(1'200));
  BOOST_TEST(!received.empty());
  BOOST_TEST(watcher.is_reachable());
}

// Guards against more and more open calls to a store that answers none.
BOOST_AUTO_TEST_CASE(the_number_of_calls_is_bounded) {
  store.lost_reads = 1'000;
  store.keeps_deadlines = false;
  RunFor(milliseconds(6'500));
  BOOST_TEST(store.reads == 5);
  BOOST_TEST(received.empty());
}

// Guards against watches that multiply after several reads were open at once.
BOOST_AUTO_TEST_CASE(one_watch_follows_several_open_reads) {
  store.delay = milliseconds(950);
  RunFor(milliseconds(2'600));
  BOOST_TEST(store.watches == 1);
}

BOOST_AUTO_TEST_SUITE_END()
