// Random walk over faults, repeatable by seed.  After every step the runs that
// the services recorded are compared with the answers of the callers: no
// booking runs twice, none that was reported as not-run has run, and every
// caller gets exactly one answer, which is correct.
//
//   once_walk [--faults net,pause,kill,list,cut,mode,drain] SEED [LAST_SEED]
#include "world.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <vector>

namespace {

constexpr int64_t kWalkMs = 60000;
constexpr int64_t kRecoveryMs = 40000;
constexpr int64_t kMeanStepMs = 60;
constexpr uint32_t kPieces = 3;
constexpr int kInstances = 5;
constexpr int kServices = 2;
constexpr size_t kBookingsMax = 120;
constexpr int64_t kDeadlineMs = 8000;

enum Fault : unsigned {
    kNet = 1,
    kPause = 2,
    kKill = 4,
    kList = 8,
    kCut = 16,
    kMode = 32,
    kDrain = 64,
    kAll = 127
};

struct Booking {
    std::string key;
    std::string body;
    std::string ticket;
    std::vector<std::string> sent; // ids of its requests, repeats included
};

struct Counts {
    int bookings = 0;
    int calls = 0;
    int ran = 0;
    int not_run = 0;
    int unknown = 0;
    int lost = 0;
};

class Walk {
  public:
    Walk(uint32_t seed, unsigned faults) : seed_(seed), faults_(faults)
    {
        world_ = World_Create(seed);
        Build();
    }

    ~Walk()
    {
        World_Destroy(world_);
    }

    bool Run(Counts *counts)
    {
        World_OnStep(world_, AfterStep, this);
        World_SetTrace(world_, getenv("WALK_TRACE") != nullptr);
        World_Run(world_, 3000);
        int64_t end_ms = World_NowMs(world_) + kWalkMs;
        while (World_NowMs(world_) < end_ms && !failed_) {
            Act();
            World_Run(world_, 1 + Random(2 * kMeanStepMs));
        }
        RecoverAll();
        CheckEnd(counts);
        return !failed_;
    }

  private:
    World *world_;
    uint32_t seed_;
    unsigned faults_;
    bool failed_ = false;
    size_t runs_seen_ = 0;
    std::vector<std::string> names_;
    std::map<std::string, bool> paused_;
    std::map<std::string, bool> listed_;
    std::map<std::string, int64_t> stopping_;
    std::vector<std::string> services_;
    std::vector<Booking> bookings_;
    std::map<std::string, size_t> by_call_;
    std::map<std::string, int> runs_of_key_;
    std::map<std::string, int> runs_of_call_;
    int next_call_ = 0;

    int Random(int below)
    {
        return g_rand_int_range(World_Random(world_), 0, below);
    }

    template <class T> T &Pick(std::vector<T> &from)
    {
        return from[Random(static_cast<int>(from.size()))];
    }

    void Note(const std::string &what, const std::string &name)
    {
        if (getenv("WALK_TRACE") != nullptr) {
            printf("%7" G_GINT64_FORMAT " # %s %s\n",
                   World_NowMs(world_) - 1000000, what.c_str(), name.c_str());
        }
    }

    void Fail(const std::string &what)
    {
        if (failed_) {
            return;
        }
        printf("seed %u at %" G_GINT64_FORMAT " ms: %s\n", seed_,
               World_NowMs(world_) - 1000000, what.c_str());
        failed_ = true;
    }

    void Build()
    {
        static const char *const centres[][2] = {
            {"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
        char *sheet = nullptr;
        g_file_get_contents(BASE_SHEET, &sheet, nullptr, nullptr);
        for (int i = 0; i < kInstances; i++) {
            std::string name(1, static_cast<char>('a' + i));
            const char *const *centre = centres[i % 3];
            World_AddInstance(world_, name.c_str(), centre[0], centre[1]);
            names_.push_back(name);
            listed_[name] = true;
        }
        for (int i = 0; i < kServices; i++) {
            std::string name = "b" + std::to_string(i);
            WorldUpstreamSpec spec = {};
            spec.name = name.c_str();
            spec.kind = BS_NODE_SERVICE;
            spec.data_centre = centres[i % 3][0];
            spec.region = centres[i % 3][1];
            spec.serves = "bookings";
            spec.slots = 4;
            spec.first_ms = 40;
            spec.step_ms = 20;
            spec.pieces = kPieces;
            World_AddUpstream(world_, &spec);
            services_.push_back(name);
        }
        // Instances that start later cannot know that no key was sent before.
        World_Config(world_)->fresh_fleet = false;
        World_PublishSheet(world_, 1, sheet, 0);
        World_PublishList(world_, 0);
        g_free(sheet);
    }

    // --- callers ---

    void SendTo(size_t index, const std::string &instance)
    {
        Booking &booking = bookings_[index];
        std::string id = "r" + std::to_string(next_call_++);
        BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
        BsRequest *request = &message->u.request;
        request->request_id = g_strdup(id.c_str());
        request->token = g_strdup("t-vans");
        request->service = g_strdup("bookings");
        request->method = g_strdup("POST");
        request->path = g_strdup("/book");
        request->key = g_strdup(booking.key.c_str());
        if (!booking.ticket.empty()) {
            request->ticket = g_strdup(booking.ticket.c_str());
        }
        request->body = g_bytes_new(booking.body.data(), booking.body.size());
        request->deadline_ms = kDeadlineMs;
        booking.sent.push_back(id);
        by_call_[id] = index;
        World_Send(world_, instance.c_str(), message);
    }

    // Picks an instance as a load balancer would: a running one, which may be
    // paused.
    std::string PickInstance()
    {
        for (int i = 0; i < 20; i++) {
            const std::string &name = Pick(names_);
            if (World_Core(world_, name.c_str()) != nullptr) {
                return name;
            }
        }
        return names_[0];
    }

    // Sends a new booking, one in four with a ticket and one in four twice.
    void Book()
    {
        if (bookings_.size() >= kBookingsMax) {
            return;
        }
        size_t index = bookings_.size();
        Booking booking;
        booking.key = "k" + std::to_string(index);
        booking.body = "body of " + booking.key;
        if (Random(4) == 0) {
            booking.ticket = TakeTicket();
        }
        bookings_.push_back(booking);
        SendTo(index, PickInstance());
        if (Random(4) == 0) {
            SendTo(index, PickInstance());
        }
    }

    // Takes the newest ticket of an answer that no booking has used, or "".
    std::string TakeTicket()
    {
        const GPtrArray *calls = World_Calls(world_);
        for (guint i = calls->len; i > 0; i--) {
            auto *call = static_cast<WorldCall *>(calls->pdata[i - 1]);
            if (call->ticket != nullptr) {
                std::string ticket = call->ticket;
                g_clear_pointer(&call->ticket, g_free);
                return ticket;
            }
        }
        return "";
    }

    // Returns whether a caller has got the answer that the booking ran.
    bool IsConfirmed(const Booking &booking)
    {
        for (const std::string &id : booking.sent) {
            const WorldCall *call = World_Call(world_, id.c_str());
            if (call->finals > 0 && call->outcome == BS_OUTCOME_RAN) {
                return true;
            }
        }
        return false;
    }

    void Resend()
    {
        if (bookings_.empty()) {
            return;
        }
        size_t index = Random(static_cast<int>(bookings_.size()));
        if (!IsConfirmed(bookings_[index]) || Random(4) == 0) {
            SendTo(index, PickInstance());
        }
    }

    // Disconnects the caller of the newest request if it has no answer yet.
    void DisconnectCaller()
    {
        const GPtrArray *calls = World_Calls(world_);
        if (calls->len == 0) {
            return;
        }
        auto *call = static_cast<WorldCall *>(calls->pdata[calls->len - 1]);
        if (call->finals == 0 && !call->lost) {
            call->lost = true;
            World_Leave(world_, call->id);
        }
    }

    // --- faults ---

    // Returns, with a chance of 1 in ONE_IN, whether to inject an enabled
    // FAULT.
    bool ShouldInject(Fault fault, int one_in)
    {
        return (faults_ & fault) != 0 && Random(one_in) == 0;
    }

    void Publish()
    {
        if (Random(3) == 0) {
            World_PublishListTo(world_, Pick(names_).c_str());
        }
        else {
            World_PublishList(world_, Random(6000));
        }
    }

    void SetListed(const std::string &name, bool listed)
    {
        Note(listed ? "list" : "unlist", name);
        World_SetListed(world_, name.c_str(), listed ? BS_NODE_LIVE : 0);
        listed_[name] = listed;
    }

    void KillOrRestart()
    {
        const std::string &name = Pick(names_);
        if (World_Core(world_, name.c_str()) == nullptr) {
            Note("start", name);
            World_Restart(world_, name.c_str());
            SetListed(name, true);
            Publish();
        }
        else if (Random(3) == 0) {
            Note("replace", name);
            World_Restart(world_, name.c_str());
            paused_[name] = false;
            stopping_.erase(name);
        }
        else {
            Note("kill", name);
            World_Kill(world_, name.c_str());
            paused_[name] = false;
            stopping_.erase(name);
            if (Random(3) > 0) {
                SetListed(name, false);
                Publish();
            }
        }
    }

    void PauseOrWake()
    {
        const std::string &name = Pick(names_);
        if (World_Core(world_, name.c_str()) == nullptr) {
            return;
        }
        Note(paused_[name] ? "wake" : "pause", name);
        if (paused_[name]) {
            World_Wake(world_, name.c_str());
        }
        else {
            World_Pause(world_, name.c_str());
        }
        paused_[name] = !paused_[name];
    }

    void ChangeList()
    {
        const std::string &name = Pick(names_);
        bool alive = World_Core(world_, name.c_str()) != nullptr;
        SetListed(name, alive && (!listed_[name] || Random(3) > 0));
        Publish();
    }

    void DrainOne()
    {
        const std::string &name = Pick(names_);
        if (World_Core(world_, name.c_str()) == nullptr || paused_[name] ||
            stopping_.count(name) > 0) {
            return;
        }
        World_Drain(world_, name.c_str(), Random(10000));
        stopping_[name] = World_NowMs(world_);
        if (Random(3) > 0) {
            SetListed(name, false);
            Publish();
        }
    }

    // Ends the processes that have drained.
    void ReapDrained()
    {
        for (const std::string &name : names_) {
            if (stopping_.count(name) > 0 &&
                World_IsDrained(world_, name.c_str())) {
                World_Kill(world_, name.c_str());
                stopping_.erase(name);
                SetListed(name, false);
                Publish();
            }
        }
    }

    void ChangeNetwork()
    {
        static const double shares[] = {0, 0, 0.02, 0.1};
        World_SetNetwork(world_, shares[Random(4)], shares[Random(4)] * 3,
                         Random(2) == 0 ? 0 : Random(3000));
    }

    void Act()
    {
        ReapDrained();
        int dice = Random(10);
        if (dice < 4) {
            Book();
        }
        else if (dice < 8) {
            Resend();
        }
        else if (Random(6) == 0) {
            DisconnectCaller();
        }
        if (ShouldInject(kNet, 40)) {
            ChangeNetwork();
        }
        if (ShouldInject(kPause, 25)) {
            PauseOrWake();
        }
        if (ShouldInject(kKill, 60)) {
            KillOrRestart();
        }
        if (ShouldInject(kList, 60)) {
            ChangeList();
        }
        if (ShouldInject(kCut, 40)) {
            if (Random(3) == 0) {
                World_Heal(world_);
            }
            else {
                World_Cut(world_, Pick(names_).c_str(), Pick(names_).c_str());
            }
        }
        if (ShouldInject(kMode, 40)) {
            World_SetMode(world_, Pick(services_).c_str(),
                          static_cast<WorldMode>(Random(7)));
        }
        if (ShouldInject(kDrain, 150)) {
            DrainOne();
        }
    }

    // Ends all faults and runs until every request must have its answer.
    void RecoverAll()
    {
        World_Heal(world_);
        World_Release(world_);
        World_SetNetwork(world_, 0, 0, 0);
        for (const std::string &name : services_) {
            World_SetMode(world_, name.c_str(), WORLD_OK);
        }
        for (const std::string &name : names_) {
            if (paused_[name]) {
                World_Wake(world_, name.c_str());
                paused_[name] = false;
            }
        }
        World_Run(world_, kRecoveryMs);
    }

    // --- checks ---

    static void AfterStep(World *world, void *context)
    {
        (void)world;
        static_cast<Walk *>(context)->CheckRuns();
    }

    void CheckRuns()
    {
        size_t total = 0;
        for (const std::string &name : services_) {
            total += World_Runs(world_, name.c_str())->len;
        }
        if (total == runs_seen_) {
            return;
        }
        runs_seen_ = total;
        runs_of_key_.clear();
        runs_of_call_.clear();
        for (const std::string &name : services_) {
            const GPtrArray *runs = World_Runs(world_, name.c_str());
            for (guint i = 0; i < runs->len; i++) {
                auto *run = static_cast<const WorldRun *>(runs->pdata[i]);
                CheckRun(run);
            }
        }
    }

    void CheckRun(const WorldRun *run)
    {
        if (++runs_of_key_[run->body] > 1) {
            Fail("double run of " + std::string(run->body));
        }
        runs_of_call_[run->request_id]++;
        const WorldCall *call = World_Call(world_, run->request_id);
        if (call->finals > 0 && call->outcome == BS_OUTCOME_NOT_RUN) {
            Fail("false not-run of " + std::string(run->request_id));
        }
    }

    void CheckCall(const WorldCall *call, Counts *counts)
    {
        std::string id = call->id;
        counts->calls++;
        if (call->disorders > 0 || call->finals > 1) {
            Fail("pieces out of order for " + id);
        }
        if (call->lost) {
            counts->lost++;
            return;
        }
        if (call->finals != 1) {
            Fail("no answer for " + id + " sent to " + call->instance);
            return;
        }
        const Booking &booking = bookings_[by_call_[id]];
        int runs = runs_of_key_[booking.body];
        if (call->outcome == BS_OUTCOME_RAN) {
            counts->ran++;
            CheckRan(call, booking, runs);
        }
        else if (call->outcome == BS_OUTCOME_NOT_RUN) {
            counts->not_run++;
            if (RanBefore(booking, call->sent_ms)) {
                Fail("answered not-run after it had run: " + id);
            }
        }
        else if (call->outcome == BS_OUTCOME_UNKNOWN) {
            counts->unknown++;
        }
        else {
            Fail("no outcome for " + id);
        }
    }

    void CheckRan(const WorldCall *call, const Booking &booking, int runs)
    {
        if (runs != 1) {
            Fail("answered ran, but did not run once: " + booking.key);
        }
        char *whole = World_ExpectedText(booking.body.c_str(), kPieces);
        if (call->error == BS_ERR_NONE &&
            strcmp(whole, call->text->str) != 0) {
            Fail("wrong answer for " + booking.key + ": " + call->text->str);
        }
        g_free(whole);
    }

    bool RanBefore(const Booking &booking, int64_t at_ms)
    {
        for (const std::string &name : services_) {
            const GPtrArray *runs = World_Runs(world_, name.c_str());
            for (guint i = 0; i < runs->len; i++) {
                auto *run = static_cast<const WorldRun *>(runs->pdata[i]);
                if (booking.body == run->body && run->at_ms < at_ms) {
                    return true;
                }
            }
        }
        return false;
    }

    // Checks that a booking has not run if all its requests were answered with
    // not-run.
    void CheckBooking(const Booking &booking)
    {
        for (const std::string &id : booking.sent) {
            const WorldCall *call = World_Call(world_, id.c_str());
            if (call->lost || call->outcome != BS_OUTCOME_NOT_RUN) {
                return;
            }
        }
        if (runs_of_key_[booking.body] > 0) {
            Fail("false not-run of " + booking.key);
        }
    }

    void CheckEnd(Counts *counts)
    {
        const GPtrArray *calls = World_Calls(world_);
        for (guint i = 0; i < calls->len; i++) {
            CheckCall(static_cast<const WorldCall *>(calls->pdata[i]), counts);
        }
        for (const Booking &booking : bookings_) {
            CheckBooking(booking);
        }
        counts->bookings += static_cast<int>(bookings_.size());
    }
};

unsigned
ParseFaults(const char *text)
{
    static const std::map<std::string, unsigned> names = {
        {"net", kNet}, {"pause", kPause}, {"kill", kKill},   {"list", kList},
        {"cut", kCut}, {"mode", kMode},   {"drain", kDrain}, {"all", kAll}};
    unsigned faults = 0;
    char **words = g_strsplit(text, ",", -1);
    for (char **word = words; *word != nullptr; word++) {
        auto found = names.find(*word);
        if (found == names.end()) {
            fprintf(stderr, "unknown fault %s\n", *word);
            exit(2);
        }
        faults |= found->second;
    }
    g_strfreev(words);
    return faults;
}

} // namespace

int
main(int argc, char **argv)
{
    unsigned faults = kAll;
    int next = 1;
    if (argc > 2 && strcmp(argv[1], "--faults") == 0) {
        faults = ParseFaults(argv[2]);
        next = 3;
    }
    if (next >= argc) {
        fprintf(stderr, "usage: once_walk [--faults LIST] SEED [LAST]\n");
        return 2;
    }
    uint32_t first = static_cast<uint32_t>(atoi(argv[next]));
    uint32_t last =
        next + 1 < argc ? static_cast<uint32_t>(atoi(argv[next + 1])) : first;
    Counts counts;
    int failed = 0;
    for (uint32_t seed = first; seed <= last; seed++) {
        Walk walk(seed, faults);
        failed += walk.Run(&counts) ? 0 : 1;
    }
    printf("seeds %u to %u: %d failed; bookings %d, calls %d: ran %d, "
           "not-run %d, unknown %d, lost %d\n",
           first, last, failed, counts.bookings, counts.calls, counts.ran,
           counts.not_run, counts.unknown, counts.lost);
    return failed == 0 ? 0 : 1;
}
