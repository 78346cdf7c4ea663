/* soak_repeats.c - checks the bound on requests that are sent once more. */
#include "soak.h"

#include <stdio.h>

/* Follow from the settings in soak_fleet.c. */
#define WINDOW_MS SOAK_RETRY_WINDOW_MS
#define RATIO SOAK_RETRY_RATIO

/* An arrival of a request that had arrived before. */
typedef struct {
    int64_t time_ms;
    unsigned gateway;
} Repeat;

struct SoakRepeats {
    Soak *soak;
    GArray *sent;    /* int64_t: when callers sent requests, in order */
    GArray *repeats; /* Repeat, in order */
    unsigned most;   /* repeats in one window */
    double use;      /* highest share of the bound that was reached */
    bool over;
};

SoakRepeats *
SoakRepeats_Create(Soak *soak)
{
    SoakRepeats *repeats = g_new0(SoakRepeats, 1);
    repeats->soak = soak;
    repeats->sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
    repeats->repeats = g_array_new(FALSE, FALSE, sizeof(Repeat));
    return repeats;
}

void
SoakRepeats_Destroy(SoakRepeats *repeats)
{
    g_array_unref(repeats->sent);
    g_array_unref(repeats->repeats);
    g_free(repeats);
}

void
SoakRepeats_NoteSent(SoakRepeats *repeats)
{
    int64_t now_ms = Soak_NowMs(repeats->soak);
    g_array_append_val(repeats->sent, now_ms);
}

/* Returns how many requests were sent in the window that ends at END_MS. */
static unsigned
S_count_sent(const SoakRepeats *repeats, int64_t end_ms)
{
    unsigned count = 0;
    for (guint i = repeats->sent->len; i > 0; i--) {
        int64_t sent_ms = g_array_index(repeats->sent, int64_t, i - 1);
        if (sent_ms <= end_ms - WINDOW_MS) {
            break;
        }
        count += sent_ms <= end_ms;
    }
    return count;
}

/* Returns how many repeats the window that ends now may hold. */
static double
S_allowed(const SoakRepeats *repeats, int64_t now_ms)
{
    unsigned current = S_count_sent(repeats, now_ms);
    unsigned half = S_count_sent(repeats, now_ms - WINDOW_MS / 2);
    unsigned before = S_count_sent(repeats, now_ms - WINDOW_MS);
    return RATIO * MAX(current, MAX(half, before)) +
           repeats->soak->retry_slack;
}

/* Returns the number of repeats in the window that ends now; adds it by
   gateway to BY_GATEWAY. */
static unsigned
S_count_repeats(const SoakRepeats *repeats, int64_t now_ms,
                unsigned by_gateway[SOAK_GATEWAYS_MAX])
{
    unsigned count = 0;
    for (guint i = repeats->repeats->len; i > 0; i--) {
        const Repeat *repeat = &g_array_index(repeats->repeats, Repeat, i - 1);
        if (repeat->time_ms <= now_ms - WINDOW_MS) {
            break;
        }
        by_gateway[repeat->gateway]++;
        count++;
    }
    return count;
}

static void
S_report(const SoakRepeats *repeats, unsigned count, double allowed,
         const unsigned by_gateway[SOAK_GATEWAYS_MAX])
{
    Soak *soak = repeats->soak;
    GString *text = g_string_new(NULL);
    for (unsigned i = 0; i < soak->gateway_count; i++) {
        g_string_append_printf(text, "%s%u (up %d ms)", i == 0 ? "" : ", ",
                               by_gateway[i], (int)SoakFleet_UptimeMs(i));
    }
    Soak_Violation(soak, "repeats",
                   "%u in %d ms, %.0f allowed; by gateway: %s", count,
                   WINDOW_MS, allowed, text->str);
    g_string_free(text, TRUE);
}

void
SoakRepeats_NoteArrival(SoakRepeats *repeats, SoakRequest *request)
{
    unsigned by_gateway[SOAK_GATEWAYS_MAX] = {0};
    if (++request->arrivals == 1) {
        return;
    }
    Repeat repeat = {Soak_NowMs(repeats->soak), request->gateway};
    g_array_append_val(repeats->repeats, repeat);
    unsigned count = S_count_repeats(repeats, repeat.time_ms, by_gateway);
    double allowed = S_allowed(repeats, repeat.time_ms);
    repeats->most = MAX(repeats->most, count);
    repeats->use = MAX(repeats->use, allowed > 0 ? count / allowed : 0);
    /* Once for each time that the bound is passed. */
    if (count > allowed && !repeats->over) {
        S_report(repeats, count, allowed, by_gateway);
    }
    repeats->over = count > allowed;
}

void
SoakRepeats_Print(const SoakRepeats *repeats)
{
    printf("repeats: %u, at most %u in %d ms, %.0f in 100 of the bound\n",
           repeats->repeats->len, repeats->most, WINDOW_MS,
           repeats->use * 100);
}
