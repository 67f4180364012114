/* What the two parts of config_check share. */
#ifndef CATK_CONFIG_CHECK_INTERNAL_H
#define CATK_CONFIG_CHECK_INTERNAL_H

#include "lib/config_check/config_check.h"

typedef struct {
	config_finding_fn_t on_finding;
	void *ctx;
} config_reporter_t;

void config_check_report(const config_reporter_t *reporter,
			 config_finding_kind_t kind, config_subject_t subject,
			 const char *name, config_field_t field,
			 const char *format, ...) G_GNUC_PRINTF(6, 7);

#endif
