#include "lib/config/config_apply.h"

config_apply_step_t config_apply_on_read(config_apply_t *apply, guint64 version,
					 const config_record_t *record)
{
	const config_change_t *found = NULL;

	if (record)
		found = config_record_find(record, apply->change_id);
	apply->version = found ? found->version : version;
	if (found)
		return CONFIG_APPLY_ACCEPTED;
	if (version == apply->base)
		return CONFIG_APPLY_WRITE;
	/*
	 * An earlier copy of this write may have taken effect and its entry may
	 * already have been dropped from the history.
	 */
	if (!record || !config_record_has_all_since(record, apply->base))
		return CONFIG_APPLY_UNKNOWN;
	return CONFIG_APPLY_CONFLICT;
}

config_apply_step_t config_apply_on_write(config_apply_t *apply,
					  config_write_result_t result,
					  guint64 version)
{
	switch (result) {
	case CONFIG_WRITE_DONE:
		apply->version = version;
		return CONFIG_APPLY_ACCEPTED;
	case CONFIG_WRITE_IN_DOUBT:
		apply->in_doubt = TRUE;
		break;
	case CONFIG_WRITE_CONFLICT:
	case CONFIG_WRITE_REFUSED:
		break;
	}
	return CONFIG_APPLY_READ;
}

config_apply_step_t config_apply_on_timeout(const config_apply_t *apply)
{
	return apply->in_doubt ? CONFIG_APPLY_UNKNOWN :
				 CONFIG_APPLY_NOT_WRITTEN;
}
