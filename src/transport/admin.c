/*
 * The admin listener: metrics, health, events and the operators' API. All
 * routes registered with aub_admin_handle() require the operators' token.
 */
#include <auburnstile/admin.h>
#include <auburnstile/error.h>
#include <auburnstile/internal/events_json.h>
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/problems.h>
#include <auburnstile/internal/token.h>

#include <libsoup/soup.h>
#include <string.h>

struct route {
	char *method;
	char *path;
	aub_admin_handler *handler;
	void *context;
};

struct aub_admin {
	SoupServer *server;
	char *process;
	guint64 incarnation;
	char *token_file;
	char *token_digest;
	struct aub_metrics *metrics;
	struct aub_event_ring *events;
	bool (*ready)(void *context);
	void *context;
	GArray *routes; /* of struct route */
	GPtrArray *pending_requests; /* of struct aub_admin_request, borrowed */
};

struct aub_admin_request {
	struct aub_admin *admin; /* NULL if the listener was freed */
	SoupServerMessage *message;
	char *path;
	GHashTable *query;
	bool finished; /* no response can be sent any more */
};

static void route_clear(gpointer data)
{
	struct route *route = data;

	g_free(route->method);
	g_free(route->path);
}

static void respond_json(SoupServerMessage *message, guint status, char *json)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, json, strlen(json));
}

static char *error_json(const char *code, const char *step, const char *peer,
			const char *text)
{
	GString *out = g_string_new("{\"error\":{\"code\":");

	aub_json_append_string(out, code);
	g_string_append(out, ",\"step\":");
	aub_json_append_string(out, step ? step : "");
	g_string_append(out, ",\"peer\":");
	aub_json_append_string(out, peer ? peer : "");
	g_string_append(out, ",\"message\":");
	aub_json_append_string(out, text);
	g_string_append(out, "}}");
	return g_string_free(out, FALSE);
}

/* Rejects a request before any handler has been called. */
static void respond_refusal(SoupServerMessage *message, guint status,
			    const char *text)
{
	const char *code = status == SOUP_STATUS_NOT_FOUND ? "not-found" :
			   status == SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE ?
							     "too-large" :
							     "refused";

	respond_json(message, status, error_json(code, "admin", NULL, text));
}

static guint status_from_error(const GError *error)
{
	static const guint statuses[] = {
		[AUB_ERROR_INVALID] = SOUP_STATUS_BAD_REQUEST,
		[AUB_ERROR_TIMEOUT] = SOUP_STATUS_GATEWAY_TIMEOUT,
		[AUB_ERROR_REFUSED] = SOUP_STATUS_FORBIDDEN,
		[AUB_ERROR_CLOSED] = SOUP_STATUS_BAD_GATEWAY,
		[AUB_ERROR_CONFLICT] = SOUP_STATUS_CONFLICT,
		[AUB_ERROR_NOT_FOUND] = SOUP_STATUS_NOT_FOUND,
		[AUB_ERROR_TOO_LARGE] = SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
		[AUB_ERROR_UNAVAILABLE] = SOUP_STATUS_SERVICE_UNAVAILABLE,
		[AUB_ERROR_AMBIGUOUS] = SOUP_STATUS_GATEWAY_TIMEOUT,
		[AUB_ERROR_INTERNAL] = SOUP_STATUS_INTERNAL_SERVER_ERROR,
	};

	if (error->domain != AUB_ERROR ||
	    (guint)error->code >= G_N_ELEMENTS(statuses))
		return SOUP_STATUS_INTERNAL_SERVER_ERROR;
	return statuses[error->code];
}

const char *aub_admin_path(const struct aub_admin_request *request)
{
	return request->path;
}

const char *aub_admin_query(const struct aub_admin_request *request,
			    const char *name)
{
	if (!request->query)
		return NULL;
	return g_hash_table_lookup(request->query, name);
}

const char *aub_admin_body(const struct aub_admin_request *request,
			   gsize *length)
{
	SoupMessageBody *body =
		soup_server_message_get_request_body(request->message);

	*length = (gsize)body->length;
	return body->data ? body->data : "";
}

static void on_message_finished(SoupServerMessage *message, gpointer data)
{
	struct aub_admin_request *request = data;

	request->finished = true;
}

static struct aub_admin_request *request_new(struct aub_admin *admin,
					     SoupServerMessage *message,
					     const char *path,
					     GHashTable *query)
{
	struct aub_admin_request *request = g_new0(struct aub_admin_request, 1);

	request->admin = admin;
	request->message = g_object_ref(message);
	request->path = g_strdup(path);
	request->query = query ? g_hash_table_ref(query) : NULL;
	g_signal_connect(message, "finished", G_CALLBACK(on_message_finished),
			 request);
	g_ptr_array_add(admin->pending_requests, request);
	return request;
}

static void admin_request_free(struct aub_admin_request *request)
{
	if (request->admin)
		g_ptr_array_remove_fast(request->admin->pending_requests,
					request);
	g_signal_handlers_disconnect_by_data(request->message, request);
	g_object_unref(request->message);
	if (request->query)
		g_hash_table_unref(request->query);
	g_free(request->path);
	g_free(request);
}

void aub_admin_respond(struct aub_admin_request *request, guint status,
		       char *json)
{
	if (request->finished) {
		g_free(json);
	} else {
		respond_json(request->message, status, json);
		soup_server_message_unpause(request->message);
	}
	admin_request_free(request);
}

void aub_admin_respond_error(struct aub_admin_request *request,
			     const GError *error)
{
	const char *code = error->domain == AUB_ERROR ?
				   aub_error_code_name(error->code) :
				   "internal";

	aub_admin_respond(request, status_from_error(error),
			  error_json(code, aub_error_step(error),
				     aub_error_peer(error), error->message));
}

static void handle_events_request(struct aub_admin_request *request,
				  void *context)
{
	const struct aub_admin *admin = context;
	const char *text = aub_admin_query(request, "after");
	GError *error = NULL;
	guint64 after = 0;

	if (text && !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64,
						&after, NULL)) {
		aub_error_set(&error, AUB_ERROR_INVALID, "read events", NULL,
			      "after=%s is not a sequence number", text);
		aub_admin_respond_error(request, error);
		g_error_free(error);
		return;
	}
	aub_admin_respond(request, SOUP_STATUS_OK,
			  aub_events_json(admin->events, admin->process,
					  admin->incarnation, after));
}

static void respond_text(SoupServerMessage *message, guint status,
			 const char *type, char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE, text,
					 strlen(text));
}

/*
 * Responds to the paths that need no token. Returns false for any other path.
 */
static bool serve_public_path(struct aub_admin *admin,
			      SoupServerMessage *message, const char *path)
{
	bool ready;

	if (strcmp(path, "/metrics") == 0) {
		respond_text(message, SOUP_STATUS_OK,
			     "text/plain; version=0.0.4",
			     admin->metrics ? aub_metrics_text(admin->metrics) :
					      g_strdup(""));
		return true;
	}
	if (strcmp(path, "/healthz") == 0) {
		respond_text(message, SOUP_STATUS_OK, "text/plain",
			     g_strdup("ok\n"));
		return true;
	}
	if (strcmp(path, "/readyz") != 0)
		return false;
	ready = !admin->ready || admin->ready(admin->context);
	respond_text(message,
		     ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
		     "text/plain", g_strdup(ready ? "ready\n" : "not ready\n"));
	return true;
}

static bool route_matches(const struct route *route, const char *path)
{
	if (g_str_has_suffix(route->path, "/"))
		return g_str_has_prefix(path, route->path);
	return strcmp(path, route->path) == 0;
}

static void dispatch_to_route(struct aub_admin *admin,
			      SoupServerMessage *message, const char *path,
			      GHashTable *query)
{
	const char *method = soup_server_message_get_method(message);
	bool path_known = false;

	for (guint i = 0; i < admin->routes->len; i++) {
		const struct route *route =
			&g_array_index(admin->routes, struct route, i);

		if (!route_matches(route, path))
			continue;
		path_known = true;
		if (strcmp(method, route->method) != 0)
			continue;
		soup_server_message_pause(message);
		route->handler(request_new(admin, message, path, query),
			       route->context);
		return;
	}
	if (path_known)
		respond_refusal(message, SOUP_STATUS_METHOD_NOT_ALLOWED,
				"method not allowed for this path");
	else
		respond_refusal(message, SOUP_STATUS_NOT_FOUND,
				"path not found");
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	struct aub_admin *admin = data;
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	const char *method = soup_server_message_get_method(message);

	if (soup_server_message_get_status(message))
		return; /* already rejected in on_got_headers() */
	if (strcmp(method, SOUP_METHOD_GET) == 0 &&
	    serve_public_path(admin, message, path))
		return;
	if (!admin->token_digest)
		respond_refusal(message, SOUP_STATUS_FORBIDDEN,
				"no token file is configured, so the API is "
				"disabled");
	else if (!aub_token_authorizes(admin->token_digest,
				       soup_message_headers_get_one(
					       headers, "Authorization")))
		respond_refusal(message, SOUP_STATUS_UNAUTHORIZED,
				"the operators' token is required: "
				"Authorization: Bearer TOKEN");
	else
		dispatch_to_route(admin, message, path, query);
}

static void refuse_body(SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	soup_message_body_set_accumulate(soup_server_message_get_request_body(
						 message),
					 FALSE);
	soup_message_headers_replace(headers, "Connection", "close");
	respond_refusal(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
			"request body exceeds 2 MB");
}

static void on_got_headers(SoupServerMessage *message, gpointer data)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);

	if (soup_message_headers_get_content_length(headers) >
	    AUB_ADMIN_BODY_MAX_BYTES)
		refuse_body(message);
}

/* The size of a body without Content-Length is checked as it is received. */
static void on_got_chunk(SoupServerMessage *message, GBytes *chunk,
			 gpointer data)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	if (body->length > AUB_ADMIN_BODY_MAX_BYTES &&
	    !soup_server_message_get_status(message))
		refuse_body(message);
}

static void on_request_started(SoupServer *server, SoupServerMessage *message,
			       gpointer data)
{
	g_signal_connect(message, "got-headers", G_CALLBACK(on_got_headers),
			 NULL);
	g_signal_connect(message, "got-chunk", G_CALLBACK(on_got_chunk), NULL);
}

bool aub_admin_reload(struct aub_admin *admin, GError **error)
{
	char *token;

	if (!admin->token_file)
		return true;
	token = aub_token_read(admin->token_file, error);
	if (!token)
		return false;
	g_free(admin->token_digest);
	admin->token_digest = aub_token_digest(token);
	memset(token, 0, strlen(token));
	g_free(token);
	return true;
}

static bool listen_on(struct aub_admin *admin, const char *address,
		      GError **error)
{
	GSocketAddress *socket = NULL;
	GError *cause = NULL;
	char *host = NULL;
	guint16 port = 0;
	bool listening = false;

	if (aub_address_parse(address, &host, &port))
		socket = g_inet_socket_address_new_from_string(host, port);
	if (!socket) {
		aub_error_set(error, AUB_ERROR_INVALID, "listen for operators",
			      address, "must be \"ip:port\"");
		goto out;
	}
	listening = soup_server_listen(admin->server, socket, 0, &cause);
	if (!listening) {
		aub_error_set(error, AUB_ERROR_UNAVAILABLE,
			      "listen for operators", address, "%s",
			      cause->message);
		g_error_free(cause);
	}
out:
	g_clear_object(&socket);
	g_free(host);
	return listening;
}

struct aub_admin *aub_admin_new(const struct aub_admin_options *options,
				GError **error)
{
	struct aub_admin *admin = g_new0(struct aub_admin, 1);

	admin->server = soup_server_new(NULL, NULL);
	admin->process = g_strdup(options->process);
	admin->incarnation = options->incarnation;
	admin->token_file = g_strdup(options->token_file);
	admin->metrics = options->metrics;
	admin->events = options->events;
	admin->ready = options->ready;
	admin->context = options->context;
	admin->pending_requests = g_ptr_array_new();
	admin->routes = g_array_new(FALSE, FALSE, sizeof(struct route));
	g_array_set_clear_func(admin->routes, route_clear);
	g_signal_connect(admin->server, "request-started",
			 G_CALLBACK(on_request_started), admin);
	soup_server_add_handler(admin->server, NULL, on_request, admin, NULL);
	aub_admin_handle(admin, "GET", "/v1/events", handle_events_request,
			 admin);
	if (!aub_admin_reload(admin, error) ||
	    !listen_on(admin, options->address, error)) {
		aub_admin_free(admin);
		return NULL;
	}
	return admin;
}

void aub_admin_free(struct aub_admin *admin)
{
	if (!admin)
		return;
	for (guint i = 0; i < admin->pending_requests->len; i++) {
		struct aub_admin_request *request =
			admin->pending_requests->pdata[i];

		request->finished = true;
		request->admin = NULL;
	}
	soup_server_disconnect(admin->server);
	g_signal_handlers_disconnect_by_data(admin->server, admin);
	soup_server_remove_handler(admin->server, NULL);
	g_object_unref(admin->server);
	g_array_unref(admin->routes);
	g_ptr_array_unref(admin->pending_requests);
	g_free(admin->token_digest);
	g_free(admin->token_file);
	g_free(admin->process);
	g_free(admin);
}

void aub_admin_handle(struct aub_admin *admin, const char *method,
		      const char *path, aub_admin_handler *handler,
		      void *context)
{
	struct route route = {
		.method = g_strdup(method),
		.path = g_strdup(path),
		.handler = handler,
		.context = context,
	};

	g_array_append_val(admin->routes, route);
}

guint aub_admin_port(const struct aub_admin *admin)
{
	GSList *uris = soup_server_get_uris(admin->server);
	guint port = uris ? (guint)g_uri_get_port(uris->data) : 0;

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return port;
}
