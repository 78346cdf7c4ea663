/*
 * story.h - what an entry remembers of one request.
 *
 * Rules: private to the role in explain.c, which alone changes it.
 */
#ifndef BS_STORY_H
#define BS_STORY_H

#include "boragespur.h"

#include <jansson.h>

typedef struct {
    char *id;
    char *account;
    char *key;
    char *tier;
    char *target; /* service or model */
    char *keeper;
    char *upstream;
    int64_t start_ms;
    int64_t end_ms; /* 0 while it runs */
    uint64_t queued_ms;
    BsOutcome outcome;
    BsErrorKind error;
    bool idempotent;
} BsStory;

/* Creates the story of REQUEST, admitted at NOW_MS. */
BsStory *BsStory_Create(const BsRequest *request, int64_t now_ms);

/* Frees DATA, a BsStory. */
void BsStory_Destroy(void *data);

/* Returns STORY of the instance ENTRY as JSON; unref the result. */
GBytes *BsStory_Describe(const BsStory *story, const char *entry,
                         int64_t now_ms);

/* Returns JSON as bytes and drops the reference to it. */
GBytes *BsStory_ToBytes(json_t *json);

#endif /* BS_STORY_H */
