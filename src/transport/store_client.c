/*
 * Creation and release of the store client, and functions shared by its parts.
 */
#include <auburnstile/internal/store_client.h>

#include <auburnstile/error.h>
#include <string.h>

#define CONNECTIONS_MAX 16 /* open connections to the store */

struct aub_store_client *aub_store_client_new(
	const struct aub_store_client_options *options)
{
	struct aub_store_client *client = g_new0(struct aub_store_client, 1);

	client->options = *options;
	client->options.url = NULL;
	if (!client->options.timeout_ms)
		client->options.timeout_ms = 1000;
	if (!client->options.calls_per_s)
		client->options.calls_per_s = 1;
	client->url = g_strdup(options->url);
	client->context = g_main_context_ref_thread_default();
	client->session =
		soup_session_new_with_options("proxy-resolver", NULL,
					      "max-conns", CONNECTIONS_MAX,
					      "max-conns-per-host",
					      CONNECTIONS_MAX, "idle-timeout",
					      30, "timeout", 0, NULL);
	client->random = g_rand_new_with_seed(options->seed);
	client->known_versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	client->operations =
		g_ptr_array_new_with_free_func(store_operation_free);
	client->exchanges = g_ptr_array_new();
	g_queue_init(&client->queued_exchanges);
	client->tokens = client->options.calls_per_s;
	client->tokens_updated_us = g_get_monotonic_time();
	return client;
}

void aub_store_client_free(struct aub_store_client *client)
{
	if (!client)
		return;
	aub_store_watch_stop(client);
	g_ptr_array_unref(client->operations);
	store_timer_clear(&client->dispatch_timer);
	g_ptr_array_unref(client->exchanges);
	g_object_unref(client->session);
	g_hash_table_unref(client->known_versions);
	g_rand_free(client->random);
	g_main_context_unref(client->context);
	g_free(client->url);
	g_free(client);
}

guint64 aub_store_client_calls(const struct aub_store_client *client)
{
	return client->calls_total;
}

bool store_record_version(struct aub_store_client *client, const char *key,
			  guint64 version)
{
	guint64 *known = g_hash_table_lookup(client->known_versions, key);

	if (known && version < *known)
		return false;
	if (!known) {
		known = g_new0(guint64, 1);
		g_hash_table_insert(client->known_versions, g_strdup(key),
				    known);
	}
	*known = version;
	return true;
}

bool store_object_parse(JsonNode *node, struct aub_store_object *object)
{
	JsonObject *fields;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return false;
	fields = json_node_get_object(node);
	object->key =
		json_object_get_string_member_with_default(fields, "key", NULL);
	object->value =
		json_object_get_string_member_with_default(fields, "value",
							   NULL);
	object->version =
		json_object_get_int_member_with_default(fields, "version", 0);
	if (!object->key || !object->value || !object->version)
		return false;
	object->length = strlen(object->value);
	return true;
}

void store_error_from_status(GError **error, const char *step,
			     const struct aub_store_client *client,
			     guint status)
{
	enum aub_error_code code = AUB_ERROR_REFUSED;

	if (status >= 500)
		code = AUB_ERROR_UNAVAILABLE;
	else if (status == 404)
		code = AUB_ERROR_NOT_FOUND;
	else if (status == 413)
		code = AUB_ERROR_TOO_LARGE;
	else if (status == 400)
		code = AUB_ERROR_INVALID;
	aub_error_set(error, code, step, client->url, "status %u", status);
}
