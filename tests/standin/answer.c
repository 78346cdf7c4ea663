/* answer.c - words derived from the hash of a prompt. */
#include "answer.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

void
BsAnswerText_Word(const char *prompt, uint32_t index,
                  char word[BS_ANSWER_WORD_BYTES])
{
    uint32_t hash = XXH32(prompt, strlen(prompt), index);
    g_snprintf(word, BS_ANSWER_WORD_BYTES, "%u:%08x ", index, hash);
}

char *
BsAnswerText_Prompt(const json_t *body)
{
    const json_t *prompt = json_object_get(body, "prompt");
    if (json_is_string(prompt)) {
        return g_strdup(json_string_value(prompt));
    }
    GString *text = g_string_new(NULL);
    size_t index;
    const json_t *message;
    json_array_foreach(json_object_get(body, "messages"), index, message)
    {
        const char *content =
            json_string_value(json_object_get(message, "content"));
        if (index > 0) {
            g_string_append_c(text, '\n');
        }
        g_string_append(text, content == NULL ? "" : content);
    }
    return g_string_free(text, FALSE);
}
