/* script_private.h - types and functions shared by the verbs of a scenario. */
#ifndef SCRIPT_PRIVATE_H
#define SCRIPT_PRIVATE_H

#include "world.h"

/* A running scenario. */
typedef struct {
    World *world;
    GString *out;
    char *directory; /* of the scenario file */
    char **words;    /* of the current line, the verb first */
    int count;       /* of the words */
    bool failed;
} Script;

typedef struct {
    const char *verb;
    int min_words; /* including the verb */
    bool (*run)(Script *script, GError **error);
} ScriptVerb;

/* Verbs by file; each table ends with an empty row. */
extern const ScriptVerb script_setup_verbs[];
extern const ScriptVerb script_call_verbs[];
extern const ScriptVerb script_fault_verbs[];
extern const ScriptVerb script_measure_verbs[];

/* Sets ERROR to the formatted text; returns false. */
bool Script_Fail(GError **error, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Returns the value of the word "KEY=value", or FALLBACK. */
const char *Script_Option(const Script *script, const char *key,
                          const char *fallback);

/* Returns the option KEY as a number, or FALLBACK. */
uint32_t Script_Number(const Script *script, const char *key,
                       uint32_t fallback);

/* Returns the word at INDEX as a number, or FALLBACK. */
int64_t Script_WordNumber(const Script *script, int index, int64_t fallback);

/* Records and prints a failed expectation with the value SEEN, unless
   HOLDS. */
void Script_Check(Script *script, bool holds, const char *seen);

#endif /* SCRIPT_PRIVATE_H */
