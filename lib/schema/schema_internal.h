/* Checks of declarations, shared by the files of this module. */
#ifndef CATK_SCHEMA_INTERNAL_H
#define CATK_SCHEMA_INTERNAL_H

#include "lib/schema/schema.h"

/*
 * Each check returns FALSE with CATK_INVALID_ARGUMENT when its argument is
 * invalid.
 */

/* kind is the kind of object that is named, for the error message. */
gboolean schema_check_name(const char *kind, const char *name,
			   catk_error_t *err);

/* field is the name of the value, for the error message. */
gboolean schema_check_range(const char *field, double value, double min,
			    double max, catk_error_t *err);

gboolean schema_check_deadline(GTimeSpan deadline, catk_error_t *err);

/* Returns the index of the priority, or -1 with CATK_INVALID_ARGUMENT. */
int schema_check_priority(const schema_t *schema, const char *name,
			  catk_error_t *err);

void schema_init_routes(schema_t *schema);

void schema_free_routes(schema_t *schema);

#endif
