/*
 * centrewatch.h - which data centres of the fleet this instance has heard.
 *
 * What an instance knows of the fleet is complete only while it hears all data
 * centres.  The member table (gossip.h) forgets an instance after a minute,
 * but a partition may last for longer, and a process that starts during one
 * has never heard the other side.  So data centres are remembered for an hour,
 * and instances tell each other of those that they do not hear.
 *
 * Rules: a data centre is heard when a message of one of its instances arrives
 * or, where hubs are used, when the hub names one that it hears.  That another
 * instance hears it says that it exists, no more.  Its age, told with it, is
 * the time since any instance heard it, so that all forget it at the same time
 * and do not keep it alive for each other.  The own data centre does not
 * count.  A pause of the process counts as a start.  Memory is bounded.
 */
#ifndef BS_CENTREWATCH_H
#define BS_CENTREWATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A data centre that no instance has heard for this long is forgotten.  As
   long as the largest size of the fleet (fleetshare.h); partitions between
   regions last for minutes. */
#define BS_CENTREWATCH_HOLD_MS 3600000

/* A data centre not heard for this long is silent: some missed messages, of
   which a hub sends one in 400 ms, are no partition. */
#define BS_CENTREWATCH_SILENT_MS 2000

/* Most data centres that are remembered, and that one message tells of. */
#define BS_CENTREWATCH_MAX 256
#define BS_CENTREWATCH_TOLD_MAX 8

/* A data centre that an instance does not hear, as it tells others. */
typedef struct {
    uint32_t data_centre; /* hash of the name */
    uint32_t age_ms;      /* since an instance heard it, as far as is known */
} BsSilentCentre;

typedef enum {
    BS_CENTREWATCH_COMPLETE = 0, /* all are heard */
    BS_CENTREWATCH_SILENT,       /* all were heard since the start, but one is
                                    silent */
    BS_CENTREWATCH_UNHEARD       /* one was never heard since the start */
} BsCentreWatchState;

typedef struct BsCentreWatch BsCentreWatch;

/* Creates the table of an instance in OWN_CENTRE, started at NOW_MS; free it
   with BsCentreWatch_Destroy(). */
BsCentreWatch *BsCentreWatch_Create(uint32_t own_centre, int64_t now_ms);

/* Frees WATCH; NULL is allowed. */
void BsCentreWatch_Destroy(BsCentreWatch *watch);

/* Records that this instance is to find others (it has seeds): until it hears
   one, it knows nothing of the fleet. */
void BsCentreWatch_ExpectOthers(BsCentreWatch *watch);

/* Records that this process runs at NOW_MS.  Call it far more often than
   BS_CENTREWATCH_SILENT_MS: a process that was paused for that long knows no
   more of the others than one that has started. */
void BsCentreWatch_Tick(BsCentreWatch *watch, int64_t now_ms);

/* Records that an instance of DATA_CENTRE (0: not known) is heard. */
void BsCentreWatch_NoteHeard(BsCentreWatch *watch, uint32_t data_centre,
                             int64_t now_ms);

/* Records that, as another instance tells, DATA_CENTRE was last heard AGE_MS
   ago. */
void BsCentreWatch_Learn(BsCentreWatch *watch, uint32_t data_centre,
                         int64_t age_ms, int64_t now_ms);

/* Returns what is known of the data centres at NOW_MS. */
BsCentreWatchState BsCentreWatch_State(const BsCentreWatch *watch,
                                       int64_t now_ms);

/* Appends the data centres that this instance does not hear (BsSilentCentre),
   BS_CENTREWATCH_TOLD_MAX at most. */
void BsCentreWatch_AppendSilent(const BsCentreWatch *watch, int64_t now_ms,
                                GArray *out);

/* Returns how many data centres are remembered. */
unsigned BsCentreWatch_Count(const BsCentreWatch *watch);

#endif /* BS_CENTREWATCH_H */
