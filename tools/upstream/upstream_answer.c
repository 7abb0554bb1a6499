/*
 * Responses of a stand-in upstream, valid or invalid on purpose. An invalid one
 * is written directly to the socket, since libsoup does not send such a
 * response.
 */
#include "upstream/upstream.h"

#include <string.h>

void upstream_add_state(struct upstream *upstream, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	const char *state = "warm";
	char boot[24];

	if (upstream_is_cold(upstream) && !upstream->report_warm)
		state = "cold";
	if (upstream->draining)
		state = "draining";
	g_snprintf(boot, sizeof(boot), "%" G_GUINT64_FORMAT, upstream->boot_id);
	soup_message_headers_replace(headers, "X-Boot-Id", boot);
	soup_message_headers_replace(headers, "X-Upstream-State", state);
}

void upstream_refuse(struct upstream *upstream, SoupServerMessage *message,
		     const char *reason)
{
	upstream->oracle.refused++;
	upstream_add_state(upstream, message);
	soup_message_headers_replace(soup_server_message_get_response_headers(
					     message),
				     "X-Not-Run", "1");
	tool_answer_text(message, 503, reason);
}

/*
 * Returns a response body: the nonce, the request line, and filler up to
 * options.body_bytes. The caller frees it.
 */
static char *make_body(const struct upstream_job *job)
{
	SoupServerMessage *message = job->message;
	GString *body = g_string_new(NULL);
	char *path = g_uri_to_string(soup_server_message_get_uri(message));

	g_string_printf(body, "nonce=%s\n%s %s\n", job->nonce ? job->nonce : "",
			soup_server_message_get_method(message), path);
	while (body->len < job->upstream->options.body_bytes)
		g_string_append(body, "0123456789abcdef\n");
	g_free(path);
	return g_string_free(body, FALSE);
}

static void add_checks(const struct upstream_job *job, const char *body)
{
	SoupMessageBody *sent =
		soup_server_message_get_request_body(job->message);
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(job->message);
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, body, -1);
	char *got = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
						(const guchar *)sent->data,
						sent->length);

	soup_message_headers_replace(headers, "X-Body-Sha256", sum);
	soup_message_headers_replace(headers, "X-Request-Sha256", got);
	if (job->nonce)
		soup_message_headers_replace(headers, "X-Nonce", job->nonce);
	g_free(sum);
	g_free(got);
}

static void append_header(const char *name, const char *value, gpointer data)
{
	g_string_append_printf(data, "%s: %s\r\n", name, value);
}

/*
 * Writes a response with `sent` bytes of the body but a Content-Length of
 * `claimed_length`, and closes the connection. What the socket does not take in
 * one call is dropped; these responses are small.
 */
static void write_raw(struct upstream_job *job, const char *body,
		      gsize claimed_length, gsize sent, bool reset)
{
	GString *text = g_string_new("HTTP/1.1 200 OK\r\n");
	GSocket *socket = soup_server_message_get_socket(job->message);

	soup_message_headers_foreach(soup_server_message_get_response_headers(
					     job->message),
				     append_header, text);
	g_string_append_printf(text, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
			       claimed_length);
	g_string_append(text, "\r\n");
	g_string_append_len(text, body, sent);
	if (socket)
		g_socket_send(socket, text->str, text->len, NULL, NULL);
	g_string_free(text, TRUE);
	tool_close_connection(job->message, reset);
}

void upstream_answer(struct upstream_job *job)
{
	char *body = make_body(job);
	gsize length = strlen(body);

	upstream_add_state(job->upstream, job->message);
	add_checks(job, body);
	switch (job->fault) {
	case UPSTREAM_FAULT_TRUNCATE:
		write_raw(job, body, length, length / 2, false);
		break;
	case UPSTREAM_FAULT_WRONG_LENGTH:
		write_raw(job, body, length / 2, length, false);
		break;
	case UPSTREAM_FAULT_RESET_MIDDLE:
		write_raw(job, body, length, length / 2, true);
		break;
	default:
		soup_server_message_set_status(job->message, 200, NULL);
		soup_server_message_set_response(job->message, "text/plain",
						 SOUP_MEMORY_TAKE, body,
						 length);
		soup_server_message_unpause(job->message);
		return;
	}
	g_free(body);
}
