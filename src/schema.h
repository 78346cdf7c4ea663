/*
 * schema.h - field tables of the message payloads.
 *
 * Copying, freeing, printing, encoding and decoding are all driven by these
 * tables.  Tags are part of the wire format: never reuse or renumber one.
 */
#ifndef BS_SCHEMA_H
#define BS_SCHEMA_H

#include "boragespur.h"

typedef enum {
    BS_FIELD_STRING, /* char * */
    BS_FIELD_BYTES,  /* GBytes * */
    BS_FIELD_U64,
    BS_FIELD_I64,
    BS_FIELD_U32,
    BS_FIELD_BOOL,
    BS_FIELD_LIST /* GPtrArray * of structs described by ELEMENT */
} BsFieldType;

typedef struct BsSchema BsSchema;

typedef struct {
    uint32_t tag; /* on the wire */
    const char *name;
    BsFieldType type;
    size_t offset;           /* in the payload struct */
    const BsSchema *element; /* of a list, else NULL */
    bool local;              /* never encoded */
} BsField;

struct BsSchema {
    const char *name;
    size_t size_bytes;
    const BsField *fields;
    size_t field_count;
    GDestroyNotify destroy; /* of a list element, else NULL */
};

/* Returns the schema of the payload of KIND; NULL when it has none. */
const BsSchema *BsSchema_OfKind(uint32_t kind);

/* Returns whether KIND is a known message kind. */
bool BsSchema_KnowsKind(uint32_t kind);

/* Returns whether KIND is a known kind that is sent between instances. */
bool BsSchema_IsPeerKind(uint32_t kind);

/* Frees the strings, byte strings and lists in OBJECT, not OBJECT itself. */
void BsSchema_Clear(const BsSchema *schema, void *object);

/* Copies SOURCE to TARGET, whose fields must own nothing.  Strings and lists
   are copied; byte strings are shared. */
void BsSchema_Copy(const BsSchema *schema, void *target, const void *source);

/* Appends " name=value" for each non-empty field. */
void BsSchema_Format(const BsSchema *schema, const void *object, GString *out);

/* Creates an empty list that owns elements described by SCHEMA. */
GPtrArray *BsSchema_NewList(const BsSchema *schema);

extern const BsSchema bs_schema_list_entry;
extern const BsSchema bs_schema_load;
extern const BsSchema bs_schema_pace;
extern const BsSchema bs_schema_note;
extern const BsSchema bs_schema_in_flight;
extern const BsSchema bs_schema_loss;

#endif /* BS_SCHEMA_H */
