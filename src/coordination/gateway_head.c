/* The head of a caller's request: checks, route, deadlines, what is sent on. */
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

/*
 * Returns whether all header names are tokens. The parser accepts a space
 * before the colon, and an upstream that ignores it would read a header that is
 * withheld from it under its proper name.
 */
static bool header_names_are_valid(const struct aub_http_head *head)
{
	for (guint i = 0; i < head->headers->len; i++) {
		const char *name =
			g_array_index(head->headers, struct aub_http_header, i)
				.name;

		if (!aub_http_is_token(name, strlen(name)))
			return false;
	}
	return true;
}

/* Returns why the request can't be served; NULL if it can. */
static const char *head_problem(const struct aub_http_head *head,
				const struct aub_platform *platform)
{
	if (!header_names_are_valid(head))
		return "invalid-header-name";
	if (aub_http_head_count(head, "Host") != 1)
		return "one-host-expected";
	if (head->target[0] != '/')
		return "target-must-be-a-path";
	if (aub_http_head_count(head, platform->request_id) > 1)
		return "one-request-id-expected";
	return NULL;
}

void aub_request_read_deadlines(struct aub_request *request,
				const struct aub_http_head *head)
{
	const char *text = aub_http_head_find(
		head, request->gateway->options.platform->deadline_ms);
	gint64 timeout_us = request->route->timeout_ms * AUB_MS;
	gint64 remaining_ms;

	request->effective_deadline_us = request->start_us + timeout_us;
	request->deadline_us = request->effective_deadline_us;
	if (aub_header_parse_number(text, &remaining_ms))
		request->deadline_us =
			request->start_us + remaining_ms * AUB_MS;
	aub_caller_wait_observe(&request->route->caller_wait,
				(request->deadline_us - request->start_us) /
					AUB_MS);
	request->effective_deadline_us =
		MIN(request->effective_deadline_us, request->deadline_us);
}

bool aub_request_find_route(struct aub_request *request,
			    const struct aub_http_head *head)
{
	struct aub_gateway *gateway = request->gateway;
	const char *error = head_problem(head, gateway->options.platform);

	if (!request->routing) {
		aub_request_refuse(request, "no-configuration",
				   AUB_NOT_READY_RETRY_AFTER_MS);
		return false;
	}
	if (error) {
		aub_request_deny(request, 400, error);
		return false;
	}
	request->route = aub_routing_find(request->routing,
					  aub_http_head_find(head, "Host"),
					  head->target);
	if (!request->route) {
		aub_request_deny(request, 404, "no-route");
		return false;
	}
	error = aub_request_find_workspace(request, head);
	if (error) {
		aub_request_deny(request, 401, error);
		return false;
	}
	if (head->length > 0 &&
	    (guint64)head->length > request->routing->limits.body_bytes) {
		aub_request_deny(request, 413, "body-too-large");
		return false;
	}
	return true;
}

void aub_request_copy_head(struct aub_request *request,
			   const struct aub_http_head *head)
{
	const struct aub_platform *platform =
		request->gateway->options.platform;
	const char *id = aub_http_head_find(head, platform->request_id);

	request->id = g_strdup(id ? id : "");
	request->host = g_strdup(aub_http_head_find(head, "Host"));
	request->request_line =
		g_strdup_printf("%s %s HTTP/1.1\r\n",
				http_method_str((enum http_method)head->method),
				head->target);
	request->headers = g_string_new(NULL);
	aub_headers_forward(request->headers, head, platform,
			    !request->caller->is_peer && request->routing &&
					    request->routing->workspaces ?
				    AUB_HEADERS_OF_KEYED_REQUEST :
				    AUB_HEADERS_OF_REQUEST);
	request->is_head = head->method == HTTP_HEAD;
	request->body_length = head->chunked	? -1 :
			       head->length > 0 ? head->length :
						  0;
	request->body_complete = request->body_length == 0;
}
