/* Sets up a fleet's folder, settings and processes; see fleet.h. */
#include "fleet/fleet.h"

#include <auburnstile/error.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#define READY_POLL_INTERVAL_MS 25

static void free_member(void *data)
{
	struct fleet_member *member = data;

	child_free(member->entry);
	child_free(member->control);
	g_free(member->name);
	g_free(member->zone);
	g_free(member->callers);
	g_free(member->callers_proxy);
	g_free(member->inner);
	g_free(member->admin);
	g_free(member->control_inner);
	g_free(member->control_admin);
	g_free(member->store_url);
	g_free(member);
}

static char *loopback_address(guint16 port)
{
	return g_strdup_printf("127.0.0.1:%u", port);
}

static char *folder_path(const struct fleet *fleet, const char *name,
			 const char *suffix)
{
	char *file = g_strconcat(name, suffix, NULL);
	char *path = g_build_filename(fleet->folder, file, NULL);

	g_free(file);
	return path;
}

static bool write_file(const char *path, const char *text, GError **error)
{
	return g_file_set_contents_full(path, text, -1,
					G_FILE_SET_CONTENTS_NONE, 0600, error);
}

static bool make_folder(struct fleet *fleet, GError **error)
{
	fleet->folder = g_dir_make_tmp("auburnstile-XXXXXX", error);
	if (!fleet->folder)
		return false;
	fleet->token = g_strdup_printf("token-%08x%08x", g_random_int(),
				       g_random_int());
	fleet->token_file = folder_path(fleet, "token", "");
	fleet->inventory_file = folder_path(fleet, "inventory", ".toml");
	return write_file(fleet->token_file, fleet->token, error) &&
	       write_file(fleet->inventory_file, fleet->options.inventory,
			  error);
}

static bool start_store(struct fleet *fleet, GError **error)
{
	const char *arguments[] = { "--seed", "1", NULL };
	char *log = folder_path(fleet, "store", ".log");

	fleet->store =
		child_start("standin-store", arguments, true, log, error);
	g_free(log);
	return fleet->store != NULL;
}

/* Returns the stand-in's --listen option for one upstream of the inventory. */
static char *format_listen_option(const struct fleet *fleet, guint16 handle)
{
	const struct aub_upstream *upstream =
		aub_upstream_at(fleet->inventory, handle);
	const struct aub_service *service =
		aub_service_at(fleet->inventory, upstream->service);
	guint16 port = g_array_index(fleet->upstream_ports, guint16, handle);

	return g_strdup_printf(
		"--listen=%s:%u,slots=%u,cold_slots=%u,connections=%u,"
		"cold_ms=%u,probe_us=%u",
		upstream->host, port, upstream->slots, upstream->cold_slots,
		upstream->connections, service->cold_ms,
		upstream->probe_cost_us);
}

static bool start_upstreams(struct fleet *fleet, GError **error)
{
	GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
	const char *const *option = fleet->options.upstream_options;
	char *log = folder_path(fleet, "upstreams", ".log");
	double mean_us = fleet->options.mean_us;
	guint i;

	g_ptr_array_add(arguments, g_strdup_printf("--mean-us=%.0f",
						   mean_us ? mean_us : 20000));
	g_ptr_array_add(arguments,
			g_strdup_printf("--seed=%u", fleet->options.seed));
	for (; option && *option; option++)
		g_ptr_array_add(arguments, g_strdup(*option));
	for (i = 0; i < fleet->inventory->upstreams->len; i++)
		g_ptr_array_add(arguments, format_listen_option(fleet, i));
	g_ptr_array_add(arguments, NULL);
	fleet->upstreams = child_start("standin-upstream",
				       (const char *const *)arguments->pdata,
				       true, log, error);
	g_ptr_array_unref(arguments);
	g_free(log);
	return fleet->upstreams != NULL;
}

/*
 * Starts the proxy with a route to each upstream, and for each member one to
 * the store and one to the entry for callers.
 */
static bool start_proxy(struct fleet *fleet, GError **error)
{
	GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
	char *log = folder_path(fleet, "proxy", ".log");
	struct fleet_member *member;
	guint i;

	for (i = 0; i < fleet->inventory->upstreams->len; i++) {
		const struct aub_upstream *upstream =
			aub_upstream_at(fleet->inventory, i);

		g_ptr_array_add(
			arguments,
			g_strdup_printf("--route=%s:%u=%s:%u", upstream->host,
					upstream->port, upstream->host,
					g_array_index(fleet->upstream_ports,
						      guint16, i)));
	}
	for (i = 0; i < fleet->members->len; i++) {
		member = fleet->members->pdata[i];
		g_ptr_array_add(arguments,
				g_strdup_printf("--route=%s=%s",
						member->store_url +
							strlen("http://"),
						fleet->store->address));
		g_ptr_array_add(arguments,
				g_strdup_printf("--route=%s=%s",
						member->callers_proxy,
						member->callers));
	}
	g_ptr_array_add(arguments, NULL);
	fleet->proxy = child_start("fault-proxy",
				   (const char *const *)arguments->pdata, true,
				   log, error);
	g_ptr_array_unref(arguments);
	g_free(log);
	return fleet->proxy != NULL;
}

static void add_member(struct fleet *fleet, guint index)
{
	const GArray *zones = fleet->inventory->zones;
	struct fleet_member *member = g_new0(struct fleet_member, 1);
	const char *zone =
		aub_zone_at(fleet->inventory, index % zones->len)->name;

	member->zone = g_strdup(zone);
	member->name = g_strdup_printf("%s-e%u", zone, index / zones->len + 1);
	member->callers = loopback_address(child_pick_free_port());
	member->callers_proxy =
		fleet->options.proxies ?
			loopback_address(child_pick_free_port()) :
			g_strdup(member->callers);
	member->inner = loopback_address(child_pick_free_port());
	member->admin = loopback_address(child_pick_free_port());
	member->control_inner = loopback_address(child_pick_free_port());
	member->control_admin = loopback_address(child_pick_free_port());
	member->store_url =
		fleet->options.proxies ?
			g_strdup_printf("http://127.0.0.1:%u",
					child_pick_free_port()) :
			g_strdup_printf("http://%s", fleet->store->address);
	g_ptr_array_add(fleet->members, member);
}

static void pick_upstream_ports(struct fleet *fleet)
{
	guint16 port;
	guint i;

	for (i = 0; i < fleet->inventory->upstreams->len; i++) {
		port = fleet->options.proxies ?
			       child_pick_free_port() :
			       aub_upstream_at(fleet->inventory, i)->port;
		g_array_append_val(fleet->upstream_ports, port);
	}
}

struct fleet *fleet_new(const struct fleet_options *options, GError **error)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	guint i;

	fleet->options = *options;
	fleet->members = g_ptr_array_new_with_free_func(free_member);
	fleet->upstream_ports = g_array_new(FALSE, FALSE, sizeof(guint16));
	fleet->inventory = aub_inventory_parse(options->inventory,
					       strlen(options->inventory),
					       "inventory", error);
	if (!fleet->inventory)
		goto fail;
	pick_upstream_ports(fleet);
	if (!make_folder(fleet, error) || !start_store(fleet, error) ||
	    !start_upstreams(fleet, error))
		goto fail;
	for (i = 0; i < options->members; i++)
		add_member(fleet, i);
	if (options->proxies && !start_proxy(fleet, error))
		goto fail;
	return fleet;
fail:
	fleet_free(fleet, false);
	return NULL;
}

static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	char *path;

	if (!dir)
		return;
	for (name = g_dir_read_name(dir); name; name = g_dir_read_name(dir)) {
		path = g_build_filename(folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(folder);
}

void fleet_free(struct fleet *fleet, bool keep_logs)
{
	if (!fleet)
		return;
	g_ptr_array_unref(fleet->members);
	child_free(fleet->proxy);
	child_free(fleet->upstreams);
	child_free(fleet->store);
	if (fleet->folder && !keep_logs)
		remove_folder(fleet->folder);
	if (fleet->inventory)
		aub_inventory_unref(fleet->inventory);
	g_array_unref(fleet->upstream_ports);
	g_free(fleet->folder);
	g_free(fleet->token);
	g_free(fleet->token_file);
	g_free(fleet->inventory_file);
	g_free(fleet);
}

/*
 * Returns the settings' list of peers: the first three members' controls are
 * the seeds.
 */
static char *format_peers(const struct fleet *fleet)
{
	GString *text = g_string_new("[");
	struct fleet_member *member;
	guint i;

	for (i = 0; i < MIN(fleet->members->len, 3); i++) {
		member = fleet->members->pdata[i];
		g_string_append_printf(text, "%s\"%s\"", i ? ", " : "",
				       member->control_inner);
	}
	g_string_append(text, "]");
	return g_string_free(text, FALSE);
}

static char *control_settings(const struct fleet *fleet,
			      const struct fleet_member *member)
{
	char *peers = format_peers(fleet);
	char *text =
		g_strdup_printf("name = \"%s\"\n"
				"zone = \"%s\"\n"
				"inner = \"%s\"\n"
				"admin = \"%s\"\n"
				"peers = %s\n"
				"store = \"%s\"\n"
				"token_file = \"%s\"\n",
				member->name, member->zone,
				member->control_inner, member->control_admin,
				peers, member->store_url, fleet->token_file);

	g_free(peers);
	return text;
}

static char *entry_settings(const struct fleet *fleet,
			    const struct fleet_member *member)
{
	return g_strdup_printf("name = \"%s\"\n"
			       "zone = \"%s\"\n"
			       "callers = \"%s\"\n"
			       "inner = \"%s\"\n"
			       "admin = \"%s\"\n"
			       "control = \"%s\"\n"
			       "token_file = \"%s\"\n"
			       "policy = \"%s\"\n",
			       member->name, member->zone, member->callers,
			       member->inner, member->admin,
			       member->control_inner, fleet->token_file,
			       fleet->options.policy ? fleet->options.policy :
						       "auburnstile");
}

/*
 * Starts a process with a settings file and a log of its own, both named after
 * the member and `suffix`. Frees `settings`.
 */
static struct child *start_process(const struct fleet *fleet,
				   const struct fleet_member *member,
				   const char *program, const char *suffix,
				   char *settings, GError **error)
{
	char *name = g_strconcat(member->name, suffix, NULL);
	char *file = folder_path(fleet, name, ".toml");
	char *log = folder_path(fleet, name, ".log");
	const char *arguments[] = { "--settings", file, NULL };
	struct child *child = NULL;

	if (write_file(file, settings, error))
		child = child_start(program, arguments, false, log, error);
	g_free(settings);
	g_free(name);
	g_free(file);
	g_free(log);
	return child;
}

bool fleet_start_control(struct fleet *fleet, struct fleet_member *member,
			 GError **error)
{
	if (!member->control)
		member->control =
			start_process(fleet, member, "auburnstile-control",
				      "-control",
				      control_settings(fleet, member), error);
	return member->control != NULL;
}

bool fleet_start_member(struct fleet *fleet, struct fleet_member *member,
			GError **error)
{
	if (!fleet_start_control(fleet, member, error))
		return false;
	if (!member->entry)
		member->entry =
			start_process(fleet, member, "auburnstile-entry",
				      "-entry", entry_settings(fleet, member),
				      error);
	return member->entry != NULL;
}

bool fleet_start(struct fleet *fleet, GError **error)
{
	guint i;

	for (i = 0; i < fleet->members->len; i++)
		if (!fleet_start_member(fleet, fleet->members->pdata[i], error))
			return false;
	return true;
}

struct fleet_member *fleet_member(const struct fleet *fleet, guint index)
{
	return fleet->members->pdata[index];
}

static bool returns_ok(const char *address, const char *path)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	guint status = 0;

	g_free(child_http("GET", url, NULL, NULL, 500, &status, NULL));
	g_free(url);
	return status == 200;
}

bool fleet_member_ready(const struct fleet_member *member)
{
	return returns_ok(member->admin, "/readyz");
}

bool fleet_wait_control(const struct fleet_member *member, guint timeout_ms,
			GError **error)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * (gint64)1000;

	while (!returns_ok(member->control_admin, "/healthz")) {
		if (g_get_monotonic_time() > deadline_us) {
			aub_error_set(error, AUB_ERROR_TIMEOUT,
				      "wait for control", member->name,
				      "not ready in %u ms", timeout_ms);
			return false;
		}
		fleet_run_main_loop_ms(READY_POLL_INTERVAL_MS);
	}
	return true;
}

bool fleet_wait_ready(struct fleet *fleet, guint timeout_ms, GError **error)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * (gint64)1000;
	struct fleet_member *member;
	guint i;

	for (i = 0; i < fleet->members->len; i++) {
		member = fleet->members->pdata[i];
		while (member->entry && !fleet_member_ready(member)) {
			if (g_get_monotonic_time() > deadline_us ||
			    child_has_exited(member->entry)) {
				aub_error_set(error, AUB_ERROR_TIMEOUT,
					      "wait until ready", member->name,
					      "not ready in %u ms", timeout_ms);
				return false;
			}
			fleet_run_main_loop_ms(READY_POLL_INTERVAL_MS);
		}
	}
	return true;
}

static void signal_child(struct child **child, int signal_number)
{
	if (!*child)
		return;
	child_signal(*child, signal_number);
	if (signal_number != SIGKILL)
		return;
	child_free(*child);
	*child = NULL;
}

void fleet_signal(struct fleet_member *member, enum fleet_process process,
		  int signal_number)
{
	if (process & FLEET_ENTRY)
		signal_child(&member->entry, signal_number);
	if (process & FLEET_CONTROL)
		signal_child(&member->control, signal_number);
}

static gboolean on_timeout(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

void fleet_run_main_loop_ms(guint ms)
{
	bool elapsed = false;

	g_timeout_add(ms, on_timeout, &elapsed);
	while (!elapsed)
		g_main_context_iteration(NULL, TRUE);
}

static bool stop_child(struct child **child, gint64 deadline_us)
{
	bool ok;

	if (!*child)
		return true;
	while (!child_has_exited(*child) &&
	       g_get_monotonic_time() < deadline_us)
		fleet_run_main_loop_ms(5);
	ok = child_has_exited(*child) && (*child)->status == 0;
	child_free(*child);
	*child = NULL;
	return ok;
}

bool fleet_stop(struct fleet_member *member, enum fleet_process process,
		guint timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * (gint64)1000;
	bool ok = true;

	fleet_signal(member, process, SIGTERM);
	if (process & FLEET_ENTRY)
		ok = stop_child(&member->entry, deadline_us);
	if (process & FLEET_CONTROL)
		ok = stop_child(&member->control, deadline_us) && ok;
	return ok;
}
