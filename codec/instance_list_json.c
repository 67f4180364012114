#include "codec/instance_list_json.h"

#include <string.h>

#include "codec/json_reader.h"

static gboolean read_instance(json_reader_t *reader, JsonArray *array,
			      guint index, endpoint_info_t *info)
{
	JsonObject *object = json_reader_element(reader, "$", array, index);
	const char *address, *state, *data_centre;

	if (!object)
		return FALSE;
	address = json_reader_string(reader, "$", object, "address");
	state = json_reader_string(reader, "$", object, "state");
	data_centre = json_reader_string(reader, "$", object, "data_centre");
	if (!address || !state || !data_centre)
		return FALSE;
	if (strlen(address) >= sizeof(info->address) ||
	    strlen(data_centre) >= sizeof(info->data_centre) ||
	    !schema_address_is_valid(address)) {
		g_warning("ignored an instance with address \"%.64s\": use "
			  "ip:port",
			  address);
		return FALSE;
	}
	g_strlcpy(info->address, address, sizeof(info->address));
	g_strlcpy(info->data_centre, data_centre, sizeof(info->data_centre));
	info->leaving = g_str_equal(state, "leaving");
	return TRUE;
}

endpoint_info_t *instance_list_from_json(GBytes *document, gsize *count)
{
	json_reader_t reader = { 0 };
	endpoint_info_t *infos = NULL;
	JsonArray *array;
	JsonNode *root;
	gsize size;
	const char *text = g_bytes_get_data(document, &size);
	guint i;

	*count = 0;
	root = json_reader_parse(&reader, text, (gssize)size);
	if (!root)
		return NULL;
	array = json_reader_array(&reader, "$", json_node_get_object(root),
				  "instances");
	if (!array)
		goto out;
	infos = g_new0(endpoint_info_t, json_array_get_length(array) + 1);
	for (i = 0; i < json_array_get_length(array); i++)
		if (read_instance(&reader, array, i, &infos[*count]))
			(*count)++;
out:
	json_node_unref(root);
	return infos;
}
