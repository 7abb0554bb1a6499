/*
 * A TCP proxy that injects faults, with many routes in one process; see
 * proxy/proxy.h.
 *
 *   POST /fault  {"port": listening port (0 or absent: all), ...}
 *   GET  /stats  connections and bytes of each route
 */
#include "common/tool.h"
#include "proxy/proxy.h"

#include <argp.h>
#include <stdio.h>

struct program {
	GPtrArray *routes; /* of struct proxy_route, owned */
	GPtrArray *route_arguments; /* of char *: "LISTEN=TARGET", borrowed */
	const char *control_address;
};

static const struct argp_option option_table[] = {
	{ "route", 'r', "IP:PORT=IP:PORT", 0,
	  "listen on the first, forward to the second", 0 },
	{ "control", 'c', "IP:PORT", 0, "listen here for /fault and /stats",
	  0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct program *program = state->input;

	if (key == 'c')
		program->control_address = argument;
	else if (key == 'r' && strchr(argument, '='))
		g_ptr_array_add(program->route_arguments, argument);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "TCP proxy that injects faults.",
};

static void on_fault(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	struct program *program = data;
	JsonObject *body = tool_request_json(message);
	guint found = 0;
	gint64 port;
	guint i;

	if (!body) {
		tool_answer_text(message, 400, "expected a JSON object\n");
		return;
	}
	port = tool_json_int(body, "port", 0);
	for (i = 0; i < program->routes->len; i++) {
		struct proxy_route *route = program->routes->pdata[i];

		if (port && route->port != port)
			continue;
		proxy_route_apply(route, body);
		found++;
	}
	json_object_unref(body);
	tool_answer_text(message, found ? 200 : 404, "");
}

static void add_int(JsonBuilder *builder, const char *name, gint64 value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void on_stats(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	struct program *program = data;
	JsonBuilder *builder = json_builder_new();
	guint i;

	json_builder_begin_array(builder);
	for (i = 0; i < program->routes->len; i++) {
		const struct proxy_route *route = program->routes->pdata[i];

		json_builder_begin_object(builder);
		add_int(builder, "port", route->port);
		add_int(builder, "accepted", route->accepted);
		add_int(builder, "open", route->pairs->len);
		add_int(builder, "bytes_up", route->bytes[PROXY_UP]);
		add_int(builder, "bytes_down", route->bytes[PROXY_DOWN]);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	tool_answer_json(message, 200, json_builder_get_root(builder));
	g_object_unref(builder);
}

static bool open_routes(struct program *program, GError **error)
{
	struct proxy_route *route;
	char **parts;
	guint i;

	for (i = 0; i < program->route_arguments->len; i++) {
		parts = g_strsplit(program->route_arguments->pdata[i], "=", 2);
		route = proxy_route_new(parts[0], parts[1], error);
		g_strfreev(parts);
		if (!route)
			return false;
		g_ptr_array_add(program->routes, route);
	}
	return true;
}

int main(int argc, char **argv)
{
	struct program program = { .control_address = "127.0.0.1:0" };
	SoupServer *control = soup_server_new(NULL, NULL);
	GError *error = NULL;
	guint16 port = 0;
	int status = 1;

	program.route_arguments = g_ptr_array_new();
	program.routes = g_ptr_array_new_with_free_func(proxy_route_free);
	argp_parse(&parser, argc, argv, 0, NULL, &program);
	soup_server_add_handler(control, "/fault", on_fault, &program, NULL);
	soup_server_add_handler(control, "/stats", on_stats, &program, NULL);
	if (open_routes(&program, &error) &&
	    tool_listen(control, program.control_address, &port, &error)) {
		printf("listening %.*s:%u\n",
		       (int)strcspn(program.control_address, ":"),
		       program.control_address, port);
		fflush(stdout);
		tool_run_until_signal(NULL);
		status = 0;
	} else {
		fprintf(stderr, "fault-proxy: %s\n", error->message);
		g_error_free(error);
	}
	g_ptr_array_unref(program.routes);
	g_ptr_array_unref(program.route_arguments);
	g_object_unref(control);
	return status;
}
