/*
 * Which addresses a service's callers should use: its owner's, so that most
 * requests need no relay, and its stand-by's for when that one is gone.
 */
#include <auburnstile/internal/addresses.h>
#include <auburnstile/key_table.h>

#include <json-glib/json-glib.h>

#define VALID_MS 5000
#define VALID_MOVING_MS 500 /* while this entry stops */
#define ADDRESSES 3 /* most that are listed */

struct place {
	const char *name;
	const char *address;
	const char *zone;
	guint64 incarnation;
};

struct list {
	const struct aub_addresses_options *options;
	struct place places[ADDRESSES];
	guint count;
};

/* May callers be sent to this member? */
static bool is_usable(const struct aub_addresses_options *options,
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
	struct list *list = context;

	if (list->count == ADDRESSES || !is_usable(list->options, member))
		return;
	if (list->options->stopping &&
	    member->incarnation == list->options->self->incarnation)
		return;
	for (guint i = 0; i < list->count; i++)
		if (list->places[i].incarnation == member->incarnation)
			return;
	list->places[list->count++] = (struct place){
		.name = member->name,
		.address = member->callers_address,
		.zone = member->zone,
		.incarnation = member->incarnation,
	};
}

static void add_self(struct list *list)
{
	const struct aub_hello *self = list->options->self;

	list->places[list->count++] = (struct place){
		.name = self->name,
		.address = self->callers_address,
		.zone = self->zone,
		.incarnation = self->incarnation,
	};
}

static void fill(struct list *list, const char *service)
{
	const struct aub_entry_view *view = list->options->view;
	const struct aub_assignment *assignment;

	assignment = aub_entry_view_assignment(view, service);
	if (assignment && !list->options->local_only) {
		add_member(aub_entry_view_member(view,
						 assignment->owner_incarnation),
			   list);
		add_member(aub_entry_view_member(
				   view, assignment->standby_incarnation),
			   list);
	}
	if (!list->count && !list->options->stopping)
		add_self(list);
	if (!list->count)
		aub_entry_view_members(view, add_member, list);
	if (!list->count)
		add_self(list);
}

static char *build(const struct list *list, const char *service)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *grant;
	char *json;

	grant = aub_grant_make(list->places[0].name,
			       list->places[0].incarnation,
			       list->options->wall_s, list->options->random);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "service");
	json_builder_add_string_value(builder, service);
	json_builder_set_member_name(builder, "addresses");
	json_builder_begin_array(builder);
	for (guint i = 0; i < list->count; i++) {
		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "address");
		json_builder_add_string_value(builder, list->places[i].address);
		json_builder_set_member_name(builder, "zone");
		json_builder_add_string_value(builder, list->places[i].zone);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "valid_ms");
	json_builder_add_int_value(builder, list->options->stopping ?
						    VALID_MOVING_MS :
						    VALID_MS);
	json_builder_set_member_name(builder, "grant");
	json_builder_add_string_value(builder, grant);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	json = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	g_free(grant);
	return json;
}

char *aub_addresses_json(const struct aub_addresses_options *options,
			 const char *service, const char *path, guint *status)
{
	struct list list = { .options = options };
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
	fill(&list, service);
	return build(&list, service);
}
