#include "codec/resolve_json.h"

void resolve_json_add_addresses(JsonBuilder *builder,
				const resolve_result_t *result)
{
	guint i;

	json_builder_set_member_name(builder, "addresses");
	json_builder_begin_array(builder);
	for (i = 0; i < result->address_count; i++)
		json_builder_add_string_value(builder, result->addresses[i]);
	json_builder_end_array(builder);
}
