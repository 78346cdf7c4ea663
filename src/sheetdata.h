/*
 * sheetdata.h - loading and validation of the values of a sheet.
 */
#ifndef BS_SHEETDATA_H
#define BS_SHEETDATA_H

#include "sheet.h"

/* Loads TEXT and fills in defaults; NULL with BS_ERR_SHEET set when it does
   not match the schema. */
BsSheetData *BsSheetData_Load(const char *text, size_t size_bytes,
                              GError **error);

/* Frees DATA; NULL is allowed. */
void BsSheetData_Free(BsSheetData *data);

/* Checks names, ranges and references between the values; returns false with
   BS_ERR_SHEET set when one is invalid. */
bool BsSheetData_Check(const BsSheetData *data, GError **error);

/* Sets ERROR to a BS_ERR_SHEET with the formatted text; returns false. */
bool BsSheetData_Fail(GError **error, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

#endif /* BS_SHEETDATA_H */
