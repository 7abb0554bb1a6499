/*
 * Selects the entry addresses for a service's callers: the owner's, so that
 * most requests need no relay, and the stand-by's in case the owner is
 * unavailable.
 */
#include <auburnstile/internal/addresses.h>
#include <auburnstile/key_table.h>

#include <json-glib/json-glib.h>

/* how long callers may cache a list */
#define VALID_DEFAULT_MS 5000
#define VALID_STOPPING_MS 500 /* while this entry is stopping */
#define ADDRESSES_MAX 3 /* length of a list */

struct endpoint {
	const char *name;
	const char *address;
	const char *zone;
	guint64 incarnation;
};

struct endpoints {
	const struct aub_addresses_options *options;
	struct endpoint items[ADDRESSES_MAX];
	guint count;
};

/* Returns whether callers may be sent to this member. */
static bool accepts_callers(const struct aub_addresses_options *options,
			    const struct aub_member *member)
{
	const struct aub_inventory *inventory;
	guint16 zone;

	if (!member || member->state != AUB_MEMBER_LIVE ||
	    !member->incarnation || !*member->callers_address)
		return false;
	inventory = aub_entry_view_inventory(options->view);
	zone = aub_inventory_zone(inventory, member->zone);
	return zone == AUB_NO_HANDLE || !aub_zone_at(inventory, zone)->out;
}

static void add_member(const struct aub_member *member, void *context)
{
	struct endpoints *endpoints = context;

	if (endpoints->count == ADDRESSES_MAX ||
	    !accepts_callers(endpoints->options, member))
		return;
	if (endpoints->options->stopping &&
	    member->incarnation == endpoints->options->self->incarnation)
		return;
	for (guint i = 0; i < endpoints->count; i++)
		if (endpoints->items[i].incarnation == member->incarnation)
			return;
	endpoints->items[endpoints->count++] = (struct endpoint){
		.name = member->name,
		.address = member->callers_address,
		.zone = member->zone,
		.incarnation = member->incarnation,
	};
}

static void add_self(struct endpoints *endpoints)
{
	const struct aub_hello *self = endpoints->options->self;

	endpoints->items[endpoints->count++] = (struct endpoint){
		.name = self->name,
		.address = self->callers_address,
		.zone = self->zone,
		.incarnation = self->incarnation,
	};
}

/*
 * Adds the owner and the stand-by. If neither accepts callers, adds this entry
 * or, while it is stopping, other entries. The list is never empty.
 */
static void collect_endpoints(struct endpoints *endpoints, const char *service)
{
	const struct aub_entry_view *view = endpoints->options->view;
	const struct aub_assignment *assignment;

	assignment = aub_entry_view_assignment(view, service);
	if (assignment && !endpoints->options->local_only) {
		add_member(aub_entry_view_member(view,
						 assignment->owner_incarnation),
			   endpoints);
		add_member(aub_entry_view_member(
				   view, assignment->standby_incarnation),
			   endpoints);
	}
	if (!endpoints->count && !endpoints->options->stopping)
		add_self(endpoints);
	if (!endpoints->count)
		aub_entry_view_members(view, add_member, endpoints);
	if (!endpoints->count)
		add_self(endpoints);
}

static char *encode_endpoints(const struct endpoints *endpoints,
			      const char *service)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *owner_grant;
	char *json;

	owner_grant = aub_grant_make(endpoints->items[0].name,
				     endpoints->items[0].incarnation,
				     endpoints->options->wall_s,
				     endpoints->options->random);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "service");
	json_builder_add_string_value(builder, service);
	json_builder_set_member_name(builder, "addresses");
	json_builder_begin_array(builder);
	for (guint i = 0; i < endpoints->count; i++) {
		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "address");
		json_builder_add_string_value(builder,
					      endpoints->items[i].address);
		json_builder_set_member_name(builder, "zone");
		json_builder_add_string_value(builder,
					      endpoints->items[i].zone);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "valid_ms");
	json_builder_add_int_value(builder, endpoints->options->stopping ?
						    VALID_STOPPING_MS :
						    VALID_DEFAULT_MS);
	json_builder_set_member_name(builder, "grant");
	json_builder_add_string_value(builder, owner_grant);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	json = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	g_free(owner_grant);
	return json;
}

char *aub_addresses_json(const struct aub_addresses_options *options,
			 const char *service, const char *path, guint *status)
{
	struct endpoints endpoints = { .options = options };
	const struct aub_inventory *inventory;
	guint16 handle;

	inventory = aub_entry_view_inventory(options->view);
	if (!inventory) {
		*status = 503;
		return NULL;
	}
	handle = service ? aub_inventory_service(inventory, service) :
			   aub_inventory_route(inventory, path);
	if (handle == AUB_NO_HANDLE) {
		*status = 404;
		return NULL;
	}
	service = aub_service_at(inventory, handle)->name;
	collect_endpoints(&endpoints, service);
	return encode_endpoints(&endpoints, service);
}
