/* Builds the inventory, reads counters, posts changes and fits lines. */
#include "slopes/slopes.h"

#include <libsoup/soup.h>
#include <math.h>
#include <string.h>

#define POST_TIMEOUT_MS 20000
#define READ_TIMEOUT_MS 2000

char *slopes_inventory(guint services, guint upstreams)
{
	GString *text = g_string_new("");
	guint zone;
	guint i;

	for (zone = 0; zone < 8; zone++) {
		g_string_append_printf(
			text, "[[zone]]\nname = \"z%u\"\nregion = \"r%u\"\n",
			zone + 1, zone / 4 + 1);
		g_string_append(text, "vms = [");
		for (i = 0; i < (upstreams + 15) / 16; i++)
			g_string_append_printf(text, "%s\"vm-%u-%u\"",
					       i ? ", " : "", zone + 1, i);
		g_string_append(text, "]\n\n");
	}
	for (i = 0; i < services; i++)
		g_string_append_printf(
			text,
			"[[service]]\nname = \"service-%u\"\npath = \"/s%u\"\n"
			"slots = 6\nconnections = 250\n"
			"once = [{ method = \"POST\", path = \"/s%u/pay\", "
			"key_required = true }]\n\n",
			i, i, i);
	for (i = 0; i < upstreams; i++) {
		guint service = i % services;

		zone = (service % 2) * 4 + (i / services) % 4;
		g_string_append_printf(
			text,
			"[[upstream]]\nname = \"upstream-%u\"\n"
			"service = \"service-%u\"\nvm = \"vm-%u-%u\"\n"
			"address = \"127.0.0.1:%u\"\n",
			i, service, zone + 1, i / 16, 20000 + i);
	}
	return g_string_free(text, FALSE);
}

static double read_metric(const char *text, const char *name)
{
	char *line = g_strdup_printf("\n%s ", name);
	const char *found = strstr(text, line);
	double value = 0;

	if (found)
		value = g_ascii_strtod(found + strlen(line), NULL);
	g_free(line);
	return value;
}

bool slopes_sample_read(const struct fleet_member *member,
			struct slopes_sample *sample)
{
	char *url = g_strdup_printf("http://%s/metrics", member->control_admin);
	guint status = 0;
	char *text;

	text = child_http("GET", url, NULL, NULL, READ_TIMEOUT_MS, &status,
			  NULL);
	sample->taken_us = g_get_monotonic_time();
	g_free(url);
	if (!text)
		return false;
	sample->processor_us = read_metric(text, "auburnstile_processor_us");
	sample->network_bytes =
		read_metric(text, "auburnstile_link_bytes_in") +
		read_metric(text, "auburnstile_link_bytes_out") -
		read_metric(text, "auburnstile_entry_bytes");
	sample->messages =
		read_metric(text, "auburnstile_control_messages_total");
	sample->resident_bytes =
		read_metric(text, "auburnstile_resident_bytes");
	g_free(text);
	return status == 200;
}

double slopes_read_store_calls(const struct fleet *fleet)
{
	char *url = g_strdup_printf("http://%s/calls", fleet->store->address);
	char *text =
		child_http("GET", url, NULL, NULL, READ_TIMEOUT_MS, NULL, NULL);
	JsonNode *node = text ? json_from_string(text, NULL) : NULL;
	double calls = 0;

	if (node) {
		calls = (double)json_object_get_int_member(json_node_get_object(
								   node),
							   "total");
		json_node_unref(node);
	}
	g_free(text);
	g_free(url);
	return calls;
}

struct post_result {
	GBytes *body;
	bool done;
};

static void on_posted(GObject *source, GAsyncResult *async_result,
		      void *context)
{
	struct post_result *result = context;

	result->body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 async_result, NULL);
	result->done = true;
}

static guint64 parse_version(GBytes *body)
{
	gsize length;
	const char *data = g_bytes_get_data(body, &length);
	char *text = g_strndup(data, length);
	JsonNode *node = json_from_string(text, NULL);
	guint64 version = 0;

	if (node) {
		version = (guint64)json_object_get_int_member_with_default(
			json_node_get_object(node), "version", 0);
		json_node_unref(node);
	}
	g_free(text);
	return version;
}

bool slopes_post_change(const struct fleet *fleet,
			const struct fleet_member *member, const char *path,
			const char *body, guint64 *version)
{
	SoupSession *session =
		soup_session_new_with_options("timeout", POST_TIMEOUT_MS / 1000,
					      NULL);
	char *url = g_strdup_printf("http://%s%s", member->control_admin, path);
	char *bearer = g_strdup_printf("Bearer %s", fleet->token);
	SoupMessage *message = soup_message_new("POST", url);
	GBytes *bytes = g_bytes_new(body, strlen(body));
	struct post_result result = { 0 };
	bool accepted;

	soup_message_headers_append(soup_message_get_request_headers(message),
				    "Authorization", bearer);
	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	soup_session_send_and_read_async(session, message, 0, NULL, on_posted,
					 &result);
	while (!result.done)
		g_main_context_iteration(NULL, TRUE);
	accepted = result.body && soup_message_get_status(message) == 200;
	if (accepted)
		*version = parse_version(result.body);
	else if (result.body)
		fprintf(stderr, "slopes: %u %.*s\n",
			soup_message_get_status(message),
			(int)MIN(g_bytes_get_size(result.body), 300),
			(const char *)g_bytes_get_data(result.body, NULL));
	if (result.body)
		g_bytes_unref(result.body);
	g_bytes_unref(bytes);
	g_object_unref(message);
	g_object_unref(session);
	g_free(bearer);
	g_free(url);
	return accepted;
}

struct slopes_line slopes_fit(const double *x, const double *y, guint count)
{
	struct slopes_line line = { 0 };
	double sum_x = 0;
	double sum_y = 0;
	double sum_xx = 0;
	double sum_xy = 0;
	double denominator;
	guint i;

	for (i = 0; i < count; i++) {
		sum_x += x[i];
		sum_y += y[i];
		sum_xx += x[i] * x[i];
		sum_xy += x[i] * y[i];
	}
	denominator = count * sum_xx - sum_x * sum_x;
	if (denominator > 0)
		line.slope = (count * sum_xy - sum_x * sum_y) / denominator;
	line.base = count ? (sum_y - line.slope * sum_x) / count : 0;
	for (i = 0; i < count; i++)
		line.residual = fmax(line.residual, fabs(y[i] - line.base -
							 line.slope * x[i]));
	return line;
}
