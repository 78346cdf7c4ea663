// Measures the outcomes that callers get after one of nine instances is
// killed: for new bookings with a plain key, new ones with a ticket, and
// resends of bookings that had run.  Prints the count of each outcome, the
// share of unknown outcomes, and when the last request that ended as unknown
// was sent.
//
//   once_loss [LIST_LAG_MS]
#include "world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

constexpr int kInstances = 9;
constexpr int kServices = 3;
constexpr int kEarlier = 400;
constexpr int64_t kStepMs = 25;
constexpr int64_t kAfterMs = 20000;

enum Kind { kPlain, kTicket, kResend, kKinds };
const char *const kNames[kKinds] = {"new, plain key", "new, ticket", "resent"};

struct Sent {
    std::string id;
    Kind kind;
    int64_t after_ms; // since the kill
};

struct Totals {
    int sent = 0;
    int ran = 0;
    int not_run = 0;
    int unknown = 0;
    int unknown_late = 0; // sent later than 5 s after the kill
    int64_t last_unknown_ms = 0;
    int64_t slowest_ms = 0;
};

class Loss {
  public:
    Loss(uint32_t seed, int victim) : victim_(victim)
    {
        static const char *const centres[][2] = {
            {"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
        char *sheet = nullptr;
        g_file_get_contents(BASE_SHEET, &sheet, nullptr, nullptr);
        world_ = World_Create(seed);
        for (int i = 0; i < kInstances; i++) {
            World_AddInstance(world_, Name(i).c_str(), centres[i % 3][0],
                              centres[i % 3][1]);
        }
        for (int i = 0; i < kServices; i++) {
            std::string name = "b" + std::to_string(i);
            WorldUpstreamSpec spec = {};
            spec.name = name.c_str();
            spec.kind = BS_NODE_SERVICE;
            spec.data_centre = centres[i][0];
            spec.region = centres[i][1];
            spec.serves = "bookings";
            spec.slots = 32;
            spec.first_ms = 20;
            spec.step_ms = 5;
            spec.pieces = 1;
            World_AddUpstream(world_, &spec);
        }
        World_PublishSheet(world_, 1, sheet, 0);
        World_PublishList(world_, 0);
        g_free(sheet);
        World_Run(world_, 15000);
    }

    ~Loss()
    {
        World_Destroy(world_);
    }

    void Run(int64_t lag_ms, Totals *totals)
    {
        std::vector<std::string> tickets;
        for (int i = 0; i < kEarlier; i++) {
            Send("old" + std::to_string(i), "key" + std::to_string(i), "",
                 AnyInstance(false));
            World_Run(world_, kStepMs);
        }
        World_Run(world_, 2000);
        for (int i = 0; i < kEarlier; i++) {
            const WorldCall *call =
                World_Call(world_, ("old" + std::to_string(i)).c_str());
            tickets.push_back(call->ticket);
        }
        World_Kill(world_, Name(victim_).c_str());
        World_SetListed(world_, Name(victim_).c_str(), 0);
        World_PublishList(world_, lag_ms);
        std::vector<Sent> sent;
        for (int64_t at = 0; at < kAfterMs; at += kStepMs) {
            SendAll(static_cast<int>(at / kStepMs), at, tickets, &sent);
            World_Run(world_, kStepMs);
        }
        World_Run(world_, 25000);
        for (const Sent &each : sent) {
            Count(each, &totals[each.kind]);
        }
    }

  private:
    World *world_;
    int victim_;

    static std::string Name(int index)
    {
        return std::string(1, static_cast<char>('a' + index));
    }

    std::string AnyInstance(bool after)
    {
        int index;
        do {
            index = g_rand_int_range(World_Random(world_), 0, kInstances);
        } while (after && index == victim_);
        return Name(index);
    }

    void Send(const std::string &id, const std::string &key,
              const std::string &ticket, const std::string &instance)
    {
        BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
        BsRequest *request = &message->u.request;
        request->request_id = g_strdup(id.c_str());
        request->token = g_strdup("t-vans");
        request->service = g_strdup("bookings");
        request->method = g_strdup("POST");
        request->path = g_strdup("/book");
        request->key = g_strdup(key.c_str());
        request->body = g_bytes_new(key.data(), key.size());
        if (!ticket.empty()) {
            request->ticket = g_strdup(ticket.c_str());
        }
        World_Send(world_, instance.c_str(), message);
    }

    // Sends one request of each kind.  A caller whose unused ticket is from
    // the killed instance first gets another one, as the error tells it to;
    // that exchange is not counted on its own.
    void SendAll(int number, int64_t at,
                 const std::vector<std::string> &tickets,
                 std::vector<Sent> *sent)
    {
        std::string n = std::to_string(number);
        Send("plain" + n, "plain" + n, "", AnyInstance(true));
        sent->push_back({"plain" + n, kPlain, at});
        Send("again" + n, "key" + std::to_string(number % kEarlier), "",
             AnyInstance(true));
        sent->push_back({"again" + n, kResend, at});
        if (number >= static_cast<int>(tickets.size())) {
            return;
        }
        std::string ticket = tickets[number];
        if (ticket.substr(ticket.rfind('-') + 1) == Name(victim_)) {
            char *body = World_Query(world_, AnyInstance(true).c_str(),
                                     "ticket", nullptr, "t-vans", 1000);
            std::string text = body == nullptr ? "" : body;
            size_t start = text.find("\"ticket\":\"") + 10;
            ticket = text.substr(start, text.find('"', start) - start);
            g_free(body);
        }
        Send("ticket" + n, "ticket" + n, ticket, AnyInstance(true));
        sent->push_back({"ticket" + n, kTicket, at});
    }

    void Count(const Sent &each, Totals *totals)
    {
        const WorldCall *call = World_Call(world_, each.id.c_str());
        totals->sent++;
        if (call->finals == 0) {
            printf("unanswered: %s\n", each.id.c_str());
            return;
        }
        totals->slowest_ms =
            std::max(totals->slowest_ms, call->done_ms - call->sent_ms);
        if (call->outcome == BS_OUTCOME_RAN) {
            totals->ran++;
        }
        else if (call->outcome == BS_OUTCOME_NOT_RUN) {
            totals->not_run++;
        }
        else {
            totals->unknown++;
            totals->unknown_late += each.after_ms > 5000 ? 1 : 0;
            totals->last_unknown_ms =
                std::max(totals->last_unknown_ms, each.after_ms);
        }
    }
};

} // namespace

int
main(int argc, char **argv)
{
    int64_t lag_ms = argc > 1 ? atoll(argv[1]) : 1000;
    Totals totals[kKinds];
    for (int victim = 0; victim < kInstances; victim++) {
        Loss loss(static_cast<uint32_t>(victim + 1), victim);
        loss.Run(lag_ms, totals);
    }
    printf("one of %d instances killed, each in turn; list changed "
           "%" G_GINT64_FORMAT " ms later; sent during the %" G_GINT64_FORMAT
           " ms after the kill\n",
           kInstances, lag_ms, kAfterMs);
    printf("| bookings | sent | ran | not-run | unknown | unknown, %% | "
           "unknown, sent after 5 s | last unknown sent at, ms | slowest, ms "
           "|\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (int kind = 0; kind < kKinds; kind++) {
        const Totals &t = totals[kind];
        printf("| %s | %d | %d | %d | %d | %.2f | %d | %" G_GINT64_FORMAT
               " | %" G_GINT64_FORMAT " |\n",
               kNames[kind], t.sent, t.ran, t.not_run, t.unknown,
               t.sent == 0 ? 0 : 100.0 * t.unknown / t.sent, t.unknown_late,
               t.last_unknown_ms, t.slowest_ms);
    }
    return 0;
}
