/*
 * HTTP requests to controls, with failover to the next control.
 */
#include "ctl.h"

#include <auburnstile/internal/problems.h>
#include <auburnstile/internal/token.h>

#include <libsoup/soup.h>
#include <string.h>

void ctl_response_clear(struct ctl_response *response)
{
	g_clear_pointer(&response->body, json_object_unref);
	response->status = 0;
}

static bool load_token(struct ctl_options *options, GError **error)
{
	if (options->token)
		return true;
	if (!options->token_file) {
		aub_error_set(error, AUB_ERROR_INVALID, "read token", NULL,
			      "no token: use --token-file or "
			      "AUBURNSTILE_TOKEN_FILE");
		return false;
	}
	options->token = aub_token_read(options->token_file, error);
	return options->token != NULL;
}

static SoupMessage *message_new(struct ctl_options *options,
				const char *address, const char *method,
				const char *path, const char *body)
{
	char *url = g_strconcat("http://", address, path, NULL);
	SoupMessage *message = soup_message_new(method, url);
	SoupMessageHeaders *headers;
	char *value;

	g_free(url);
	headers = soup_message_get_request_headers(message);
	value = g_strconcat("Bearer ", options->token, NULL);
	soup_message_headers_replace(headers, "Authorization", value);
	memset(value, 0, strlen(value));
	g_free(value);
	if (body) {
		GBytes *bytes = g_bytes_new(body, strlen(body));

		soup_message_set_request_body_from_bytes(message,
							 "application/json",
							 bytes);
		g_bytes_unref(bytes);
	}
	return message;
}

/* A control that doesn't accept a connection in this time is skipped. */
#define CONNECT_TIMEOUT_S 2

/*
 * Checks whether a control accepts connections before a request is sent. An
 * unresponsive host would use up the timeout of a change, and its outcome would
 * be unknown; if the connection fails, the host can't have received
 * anything.
 */
static bool can_connect(const char *address, GError **error)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;

	g_socket_client_set_timeout(client, CONNECT_TIMEOUT_S);
	g_socket_client_set_enable_proxy(client, FALSE);
	connection = g_socket_client_connect_to_host(client, address, 0, NULL,
						     error);
	g_object_unref(client);
	if (!connection)
		return false;
	g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
	g_object_unref(connection);
	return true;
}

/* Returns true if no part of the request can have reached the peer. */
static bool was_not_sent(const GError *error)
{
	return g_error_matches(error, G_IO_ERROR,
			       G_IO_ERROR_CONNECTION_REFUSED) ||
	       g_error_matches(error, G_IO_ERROR,
			       G_IO_ERROR_HOST_UNREACHABLE) ||
	       g_error_matches(error, G_IO_ERROR,
			       G_IO_ERROR_NETWORK_UNREACHABLE);
}

static void set_unavailable(GError **error, const char *address, GError *cause)
{
	aub_error_set(error, AUB_ERROR_UNAVAILABLE, "call control", address,
		      "%s", cause->message);
	g_error_free(cause);
}

/*
 * Sends a request to one listener and waits for the response. On failure,
 * `*sent` is set to whether the listener may have received the request.
 */
static bool send_request(struct ctl_options *options, const char *address,
			 const char *method, const char *path, const char *body,
			 guint timeout_ms, struct ctl_response *response,
			 bool *sent, GError **error)
{
	SoupSession *session;
	SoupMessage *message;
	GError *cause = NULL;
	GBytes *bytes;
	const char *text;
	gsize length;

	*sent = false;
	if (!aub_address_parse(address, NULL, NULL)) {
		aub_error_set(error, AUB_ERROR_INVALID, "call control", address,
			      "not an address \"ip:port\"");
		return false;
	}
	if (!can_connect(address, &cause)) {
		set_unavailable(error, address, cause);
		return false;
	}
	session =
		soup_session_new_with_options("timeout",
					      MAX(1, (timeout_ms + 999) / 1000),
					      NULL);
	message = message_new(options, address, method, path, body);
	bytes = soup_session_send_and_read(session, message, NULL, &cause);
	if (bytes) {
		text = g_bytes_get_data(bytes, &length);
		response->status = soup_message_get_status(message);
		response->body = aub_json_parse(text ? text : "", length,
						"read response", address, NULL);
		g_bytes_unref(bytes);
	} else {
		*sent = !was_not_sent(cause);
		set_unavailable(error, address, cause);
	}
	g_object_unref(message);
	g_object_unref(session);
	return bytes != NULL;
}

bool ctl_request_one(struct ctl_options *options, const char *address,
		     const char *path, struct ctl_response *response,
		     GError **error)
{
	bool sent;

	return load_token(options, error) &&
	       send_request(options, address, "GET", path, NULL,
			    options->timeout_ms, response, &sent, error);
}

/* Returns true if another control may be able to process the request. */
static bool is_unavailable(const struct ctl_response *response)
{
	return response->status == SOUP_STATUS_SERVICE_UNAVAILABLE ||
	       response->status == SOUP_STATUS_BAD_GATEWAY;
}

bool ctl_request(struct ctl_options *options, const char *method,
		 const char *path, const char *body, guint timeout_ms,
		 struct ctl_response *response, GError **error)
{
	GError *last = NULL;
	bool sent;

	response->maybe_received = false;
	if (!load_token(options, error))
		return false;
	if (!options->controls->len) {
		aub_error_set(error, AUB_ERROR_INVALID, "call control", NULL,
			      "no address: use --control or "
			      "AUBURNSTILE_CONTROL");
		return false;
	}
	for (guint i = 0; i < options->controls->len; i++) {
		const char *address = options->controls->pdata[i];

		g_clear_error(&last);
		ctl_response_clear(response);
		if (send_request(options, address, method, path, body,
				 timeout_ms, response, &sent, &last) &&
		    !is_unavailable(response))
			return true;
		response->maybe_received =
			response->maybe_received || (sent && body);
	}
	if (response->status)
		return true;
	if (response->maybe_received)
		aub_error_set(error, AUB_ERROR_AMBIGUOUS, "call control", NULL,
			      "the response was lost (%s)", last->message);
	else
		g_propagate_error(error, g_error_copy(last));
	g_error_free(last);
	return false;
}

int ctl_print_error(GError *error, int code)
{
	g_printerr("auburnstilectl: %s\n", error->message);
	g_error_free(error);
	return code;
}

int ctl_print_refusal(const struct ctl_response *response)
{
	JsonObject *error = response->body ?
				    aub_json_object(response->body, "error") :
				    NULL;
	const char *text = error ? aub_json_string(error, "message") : NULL;

	g_printerr("auburnstilectl: rejected (%u): %s\n", response->status,
		   text ? text : "the response has no reason");
	return CTL_REFUSED;
}

JsonObject *ctl_get(struct ctl_options *options, const char *path, int *code)
{
	struct ctl_response response = { 0 };
	GError *error = NULL;

	if (!ctl_request(options, "GET", path, NULL, options->timeout_ms,
			 &response, &error)) {
		bool usage = error->code == AUB_ERROR_INVALID;

		*code = ctl_print_error(error,
					usage ? CTL_USAGE : CTL_UNREACHABLE);
		return NULL;
	}
	if (response.status == SOUP_STATUS_OK && response.body)
		return response.body;
	*code = ctl_print_refusal(&response);
	ctl_response_clear(&response);
	return NULL;
}

void ctl_print_json(JsonObject *object)
{
	JsonNode *node = json_node_alloc();
	char *text;

	json_node_init_object(node, object);
	text = aub_json_pretty(node);
	g_print("%s\n", text);
	g_free(text);
	json_node_unref(node);
}
