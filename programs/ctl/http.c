/*
 * Questions to controls over HTTP, one after the other.
 */
#include "ctl.h"

#include <auburnstile/internal/problems.h>
#include <auburnstile/internal/token.h>

#include <libsoup/soup.h>
#include <string.h>

void ctl_response_clear(struct ctl_response *answer)
{
	g_clear_pointer(&answer->body, json_object_unref);
	answer->status = 0;
}

static bool token_ready(struct ctl_options *options, GError **error)
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

/* A control that doesn't take a connection for so long is passed over. */
#define CONNECT_S 2

/*
 * A host that has gone silent takes the whole timeout of a change, and then
 * nobody knows whether it got it. One that took no connection has got
 * nothing, so this is found out first.
 */
static bool connects(const char *address, GError **error)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;

	g_socket_client_set_timeout(client, CONNECT_S);
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

/* Nothing of the request can have reached the other end. */
static bool was_not_sent(const GError *error)
{
	return g_error_matches(error, G_IO_ERROR,
			       G_IO_ERROR_CONNECTION_REFUSED) ||
	       g_error_matches(error, G_IO_ERROR,
			       G_IO_ERROR_HOST_UNREACHABLE) ||
	       g_error_matches(error, G_IO_ERROR,
			       G_IO_ERROR_NETWORK_UNREACHABLE);
}

static void ask_failed(GError **error, const char *address, GError *problem)
{
	aub_error_set(error, AUB_ERROR_UNAVAILABLE, "ask control", address,
		      "%s", problem->message);
	g_error_free(problem);
}

/*
 * One question to one listener. On failure `*sent` says whether the request
 * may have got there.
 */
static bool exchange(struct ctl_options *options, const char *address,
		     const char *method, const char *path, const char *body,
		     guint timeout_ms, struct ctl_response *answer, bool *sent,
		     GError **error)
{
	SoupSession *session;
	SoupMessage *message;
	GError *problem = NULL;
	GBytes *bytes;
	const char *text;
	gsize length;

	*sent = false;
	if (!aub_address_parse(address, NULL, NULL)) {
		aub_error_set(error, AUB_ERROR_INVALID, "ask control", address,
			      "this is no address \"ip:port\"");
		return false;
	}
	if (!connects(address, &problem)) {
		ask_failed(error, address, problem);
		return false;
	}
	session =
		soup_session_new_with_options("timeout",
					      MAX(1, (timeout_ms + 999) / 1000),
					      NULL);
	message = message_new(options, address, method, path, body);
	bytes = soup_session_send_and_read(session, message, NULL, &problem);
	if (bytes) {
		text = g_bytes_get_data(bytes, &length);
		answer->status = soup_message_get_status(message);
		answer->body = aub_json_parse(text ? text : "", length,
					      "read answer", address, NULL);
		g_bytes_unref(bytes);
	} else {
		*sent = !was_not_sent(problem);
		ask_failed(error, address, problem);
	}
	g_object_unref(message);
	g_object_unref(session);
	return bytes != NULL;
}

bool ctl_request_one(struct ctl_options *options, const char *address,
		 const char *path, struct ctl_response *answer, GError **error)
{
	bool sent;

	return token_ready(options, error) &&
	       exchange(options, address, "GET", path, NULL,
			options->timeout_ms, answer, &sent, error);
}

/* A control that can't take the request now; another one may. */
static bool try_another(const struct ctl_response *answer)
{
	return answer->status == SOUP_STATUS_SERVICE_UNAVAILABLE ||
	       answer->status == SOUP_STATUS_BAD_GATEWAY;
}

bool ctl_request(struct ctl_options *options, const char *method, const char *path,
	     const char *body, guint timeout_ms, struct ctl_response *answer,
	     GError **error)
{
	GError *last = NULL;
	bool sent;

	answer->lost = false;
	if (!token_ready(options, error))
		return false;
	if (!options->controls->len) {
		aub_error_set(error, AUB_ERROR_INVALID, "ask control", NULL,
			      "no address: use --control or "
			      "AUBURNSTILE_CONTROL");
		return false;
	}
	for (guint i = 0; i < options->controls->len; i++) {
		const char *address = options->controls->pdata[i];

		g_clear_error(&last);
		ctl_response_clear(answer);
		if (exchange(options, address, method, path, body, timeout_ms,
			     answer, &sent, &last) &&
		    !try_another(answer))
			return true;
		answer->lost = answer->lost || (sent && body);
	}
	if (answer->status)
		return true;
	if (answer->lost)
		aub_error_set(error, AUB_ERROR_AMBIGUOUS, "ask control", NULL,
			      "the answer was lost (%s)", last->message);
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

int ctl_print_refusal(const struct ctl_response *answer)
{
	JsonObject *error =
		answer->body ? aub_json_object(answer->body, "error") : NULL;
	const char *text = error ? aub_json_string(error, "message") : NULL;

	g_printerr("auburnstilectl: refused (%u): %s\n", answer->status,
		   text ? text : "the answer gave no reason");
	return CTL_REFUSED;
}

JsonObject *ctl_get(struct ctl_options *options, const char *path, int *code)
{
	struct ctl_response answer = { 0 };
	GError *error = NULL;

	if (!ctl_request(options, "GET", path, NULL, options->timeout_ms, &answer,
		     &error)) {
		bool usage = error->code == AUB_ERROR_INVALID;

		*code = ctl_print_error(error,
					usage ? CTL_USAGE : CTL_UNREACHABLE);
		return NULL;
	}
	if (answer.status == SOUP_STATUS_OK && answer.body)
		return answer.body;
	*code = ctl_print_refusal(&answer);
	ctl_response_clear(&answer);
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
