/* silence.c - what to do about an upstream that has sent nothing for a while.
 */
#include "silence.h"

/* Least time without an answer after which an upstream counts as silent. */
#define NO_ANSWER_MIN_MS 300

/* Factor on that time when the upstream answers other requests meanwhile. */
#define REACHABLE_FACTOR 2

/* Pause between events after which it does; longer than the pause of a
   preempted run. */
#define EVENT_PAUSE_MS 1000

/* Time after a send in which an engine that cannot take a request refuses it;
   with the time to cancel, below the 400 ms for which two may work on it. */
#define HOLD_MS 300

int64_t
BsSilence_HoldUntilMs(int64_t sent_ms)
{
    return sent_ms + HOLD_MS;
}

int64_t
BsSilence_LimitMs(const BsSilence *silence)
{
    if (silence->stream && silence->in_events) {
        return silence->progressed_ms + EVENT_PAUSE_MS;
    }
    int64_t no_answer_ms = MAX(NO_ANSWER_MIN_MS, silence->objective_ms);
    int64_t factor = silence->reachable ? REACHABLE_FACTOR : 1;
    return silence->progressed_ms + factor * no_answer_ms;
}

BsSilenceStep
BsSilence_Decide(const BsSilenceOptions *options)
{
    if (!options->may_repeat || options->blocked || options->runs_left == 0 ||
        options->sends_left == 0 || !options->can_exclude) {
        return BS_SILENCE_ENDURE;
    }
    return options->alternative == BS_TARGET_NONE ? BS_SILENCE_WAIT
                                                  : BS_SILENCE_ADD_SEND;
}
