#include "lib/organisation/organisation.h"

#include <string.h>

organisations_t *organisations_new(void)
{
	organisations_t *organisations = g_new0(organisations_t, 1);

	TAILQ_INIT(&organisations->list);
	organisations->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	organisations->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return organisations;
}

void organisations_free(organisations_t *organisations)
{
	organisation_t *organisation, *next;

	if (!organisations)
		return;
	g_hash_table_destroy(organisations->by_key);
	g_hash_table_destroy(organisations->by_name);
	TAILQ_FOREACH_SAFE (organisation, &organisations->list, link, next) {
		g_free(organisation->name);
		g_free(organisation);
	}
	g_free(organisations);
}

/* Names and keys are values of headers, so they must not contain line ends. */
static gboolean is_visible_ascii(const char *text, size_t length_max)
{
	size_t i;

	for (i = 0; text[i]; i++)
		if (!g_ascii_isgraph(text[i]) || i >= length_max)
			return FALSE;
	return i > 0;
}

static gboolean check_name(const organisations_t *organisations,
			   const char *name, catk_error_t *err)
{
	if (!is_visible_ascii(name, ORGANISATION_NAME_MAX)) {
		catk_error_set(
			err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			"organisation name \"%.64s\" is not valid: use 1 "
			"to %d visible ASCII characters",
			name, ORGANISATION_NAME_MAX);
		return FALSE;
	}
	if (!organisations_find(organisations, name))
		return TRUE;
	catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		       "organisation \"%s\" is declared twice: remove one",
		       name);
	return FALSE;
}

/* The negated comparison also rejects what is not a number. */
static gboolean check_rate(const char *field, double value,
			   const organisation_t *organisation,
			   catk_error_t *err)
{
	if (value >= 0 && value <= ORGANISATION_RATE_MAX)
		return TRUE;
	catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		       "%s of organisation \"%s\" is %g: set it between 0 and "
		       "%g",
		       field, organisation->name, value, ORGANISATION_RATE_MAX);
	return FALSE;
}

organisation_t *organisations_add(organisations_t *organisations,
				  const organisation_t *attributes,
				  catk_error_t *err)
{
	organisation_t *organisation;

	if (!check_name(organisations, attributes->name, err) ||
	    !check_rate("the rate", attributes->rate, attributes, err) ||
	    !check_rate("the burst", attributes->burst, attributes, err))
		return NULL;
	organisation = g_new0(organisation_t, 1);
	organisation->name = g_strdup(attributes->name);
	organisation->priority = attributes->priority;
	organisation->rate = attributes->rate;
	organisation->burst = attributes->burst;
	TAILQ_INSERT_TAIL(&organisations->list, organisation, link);
	g_hash_table_insert(organisations->by_name, organisation->name,
			    organisation);
	return organisation;
}

gboolean organisations_add_key(organisations_t *organisations,
			       organisation_t *organisation, const char *key,
			       catk_error_t *err)
{
	const organisation_t *holder =
		organisations_find_by_key(organisations, key);

	if (!is_visible_ascii(key, ORGANISATION_KEY_MAX)) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "a key of organisation \"%s\" is not valid: use "
			       "1 to %d visible ASCII characters",
			       organisation->name, ORGANISATION_KEY_MAX);
		return FALSE;
	}
	if (holder) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "a key of organisation \"%s\" is also one of "
			       "\"%s\": give each its own key",
			       organisation->name, holder->name);
		return FALSE;
	}
	g_hash_table_insert(organisations->by_key, g_strdup(key), organisation);
	return TRUE;
}

gboolean organisations_is_empty(const organisations_t *organisations)
{
	return TAILQ_EMPTY(&organisations->list);
}

const organisation_t *organisations_find(const organisations_t *organisations,
					 const char *name)
{
	return g_hash_table_lookup(organisations->by_name, name);
}

const organisation_t *
organisations_find_by_key(const organisations_t *organisations, const char *key)
{
	return key ? g_hash_table_lookup(organisations->by_key, key) : NULL;
}
