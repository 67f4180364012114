/* Checks of declarations, shared by the files of this folder. */
#ifndef CATK_SCHEMA_INTERNAL_H
#define CATK_SCHEMA_INTERNAL_H

#include "lib/schema/schema.h"

/* FALSE with CATK_INVALID_ARGUMENT when name is not a valid name of a what. */
gboolean schema_check_name(const char *what, const char *name,
			   catk_error_t *err);

/* FALSE with CATK_INVALID_ARGUMENT when value is out of range. */
gboolean schema_check_range(const char *what, double value, double min,
			    double max, catk_error_t *err);

/* FALSE with CATK_INVALID_ARGUMENT when a deadline is out of its range. */
gboolean schema_check_deadline(GTimeSpan deadline, catk_error_t *err);

/* Index of a declared priority, or -1 with CATK_INVALID_ARGUMENT. */
int schema_check_priority(const schema_t *schema, const char *name,
			  catk_error_t *err);

void schema_init_routes(schema_t *schema);

void schema_free_routes(schema_t *schema);

#endif
