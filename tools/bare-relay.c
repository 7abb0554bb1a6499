/*
 * A minimal relay: libsoup's server and one libsoup client, without any
 * balancing. It is the baseline for the latency that an entry adds to a call.
 */
#include "common/tool.h"

#include <argp.h>
#include <string.h>

struct relay {
	SoupSession *session;
	char *target; /* "http://ip:port" */
};

struct exchange {
	SoupServerMessage *message; /* owned reference */
	SoupMessage *request; /* owned reference */
};

static void on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *exchange = data;
	SoupMessageHeadersIter iterator;
	const char *name;
	const char *value;
	GBytes *body;
	gsize length;
	gpointer bytes;

	body = soup_session_send_and_read_finish(SOUP_SESSION(source), result,
						 NULL);
	if (!body) {
		soup_server_message_set_status(exchange->message, 502, NULL);
		goto out;
	}
	soup_message_headers_iter_init(&iterator,
				       soup_message_get_response_headers(
					       exchange->request));
	while (soup_message_headers_iter_next(&iterator, &name, &value))
		if (g_ascii_strcasecmp(name, "Content-Length") != 0 &&
		    g_ascii_strcasecmp(name, "Date") != 0)
			soup_message_headers_append(
				soup_server_message_get_response_headers(
					exchange->message),
				name, value);
	bytes = g_bytes_unref_to_data(body, &length);
	soup_message_body_append(soup_server_message_get_response_body(
					 exchange->message),
				 SOUP_MEMORY_TAKE, bytes, length);
	soup_server_message_set_status(exchange->message,
				       soup_message_get_status(
					       exchange->request),
				       NULL);
out:
	soup_server_message_unpause(exchange->message);
	g_object_unref(exchange->message);
	g_object_unref(exchange->request);
	g_free(exchange);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	struct relay *relay = data;
	struct exchange *exchange = g_new0(struct exchange, 1);
	SoupMessageHeadersIter iterator;
	const char *name;
	const char *value;
	char *uri;

	uri = g_strconcat(relay->target, path, NULL);
	exchange->message = g_object_ref(message);
	exchange->request =
		soup_message_new(soup_server_message_get_method(message), uri);
	g_free(uri);
	soup_message_headers_iter_init(&iterator,
				       soup_server_message_get_request_headers(
					       message));
	while (soup_message_headers_iter_next(&iterator, &name, &value))
		if (g_ascii_strcasecmp(name, "Host") != 0 &&
		    g_ascii_strcasecmp(name, "Content-Length") != 0)
			soup_message_headers_append(
				soup_message_get_request_headers(
					exchange->request),
				name, value);
	soup_server_message_pause(message);
	soup_session_send_and_read_async(relay->session, exchange->request,
					 G_PRIORITY_DEFAULT, NULL, on_answer,
					 exchange);
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address", 0 },
	{ "target", 't', "IP:PORT", 0, "address to forward requests to", 0 },
	{ 0 },
};

struct arguments {
	const char *listen;
	const char *target;
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	if (key == 'l')
		arguments->listen = argument;
	else if (key == 't')
		arguments->target = argument;
	else if (key == ARGP_KEY_END &&
		 (!arguments->listen || !arguments->target))
		argp_error(state, "--listen and --target are required");
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "A minimal relay, the baseline for the latency that an entry adds.",
};

int main(int argc, char **argv)
{
	struct arguments arguments = { 0 };
	struct relay relay = { 0 };
	SoupServer *server;
	GError *error = NULL;
	guint16 port;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	relay.target = g_strconcat("http://", arguments.target, NULL);
	relay.session =
		soup_session_new_with_options("max-conns", 256,
					      "max-conns-per-host", 256, NULL);
	soup_session_remove_feature_by_type(relay.session,
					    SOUP_TYPE_CONTENT_DECODER);
	server = soup_server_new(NULL, NULL);
	soup_server_add_handler(server, NULL, on_request, &relay, NULL);
	if (!tool_listen(server, arguments.listen, &port, &error)) {
		g_printerr("%s\n", error->message);
		return 1;
	}
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
