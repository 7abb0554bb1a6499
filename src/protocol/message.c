/*
 * Allocation, copying and freeing of the message structs, driven by their
 * layouts.
 */
#include <auburnstile/internal/message_fields.h>

#include <string.h>

void *aubi_struct_new(const struct aubi_layout *layout)
{
	char *data = g_malloc0(layout->size);
	const struct aubi_field *field;

	for (field = layout->fields; field->kind != AUBI_FIELD_END; field++) {
		void *target = data + field->offset;

		if (field->kind == AUBI_FIELD_STRING)
			*(char **)target = g_strdup("");
		else if (field->kind == AUBI_FIELD_LIST)
			*(GPtrArray **)target = g_ptr_array_new();
		else if (field->kind == AUBI_FIELD_ENUM)
			*(guint *)target = 1;
	}
	return data;
}

static void free_list(const struct aubi_layout *element, GPtrArray *list)
{
	if (!list)
		return;
	for (guint i = 0; i < list->len; i++)
		aubi_struct_free(element, g_ptr_array_index(list, i));
	g_ptr_array_set_free_func(list, NULL);
	g_ptr_array_unref(list);
}

void aubi_struct_free(const struct aubi_layout *layout, void *data)
{
	const struct aubi_field *field;

	if (!data)
		return;
	for (field = layout->fields; field->kind != AUBI_FIELD_END; field++) {
		void *target = (char *)data + field->offset;

		if (field->kind == AUBI_FIELD_STRING)
			g_free(*(char **)target);
		else if (field->kind == AUBI_FIELD_BYTES)
			g_free(((struct aub_bytes *)target)->data);
		else if (field->kind == AUBI_FIELD_LIST)
			free_list(field->element, *(GPtrArray **)target);
	}
	g_free(data);
}

/* Copies a struct that has no byte strings and no lists. */
static void *struct_copy(const struct aubi_layout *layout, const void *from)
{
	char *to = g_memdup2(from, layout->size);
	const struct aubi_field *field;

	for (field = layout->fields; field->kind != AUBI_FIELD_END; field++) {
		char **target = (char **)(void *)(to + field->offset);

		g_assert(field->kind != AUBI_FIELD_LIST);
		g_assert(field->kind != AUBI_FIELD_BYTES);
		if (field->kind == AUBI_FIELD_STRING)
			*target = g_strdup(*target);
	}
	return to;
}

struct aub_message *aub_message_new(enum aub_message_type type)
{
	const struct aubi_layout *layout = aubi_message_layout(type);
	struct aub_message *message;

	g_assert(layout);
	message = aubi_struct_new(layout);
	message->type = type;
	return message;
}

void aub_message_free(struct aub_message *message)
{
	if (message)
		aubi_struct_free(aubi_message_layout(message->type), message);
}

void aub_string_set(char **field, const char *value)
{
	char *copy = g_strdup(value ? value : "");

	g_free(*field);
	*field = copy;
}

void aub_bytes_set(struct aub_bytes *field, const void *data, gsize length)
{
	guint8 *copy = length ? g_memdup2(data, length) : NULL;

	g_free(field->data);
	field->data = copy;
	field->length = length;
}

struct aub_member *aub_member_new(void)
{
	return aubi_struct_new(&aubi_member_layout);
}

struct aub_member *aub_member_copy(const struct aub_member *member)
{
	return struct_copy(&aubi_member_layout, member);
}

void aub_member_free(struct aub_member *member)
{
	aubi_struct_free(&aubi_member_layout, member);
}

struct aub_assignment *aub_assignment_new(void)
{
	return aubi_struct_new(&aubi_assignment_layout);
}

struct aub_assignment *aub_assignment_copy(
	const struct aub_assignment *assignment)
{
	return struct_copy(&aubi_assignment_layout, assignment);
}

void aub_assignment_free(struct aub_assignment *assignment)
{
	aubi_struct_free(&aubi_assignment_layout, assignment);
}

struct aub_header *aub_header_new(const char *name, const char *value)
{
	struct aub_header *header = aubi_struct_new(&aubi_header_layout);

	aub_string_set(&header->name, name);
	aub_string_set(&header->value, value);
	return header;
}

void aub_header_free(struct aub_header *header)
{
	aubi_struct_free(&aubi_header_layout, header);
}

struct aub_upstream_state *aub_upstream_state_new(void)
{
	return aubi_struct_new(&aubi_upstream_state_layout);
}

struct aub_key_record *aub_key_record_new(void)
{
	return aubi_struct_new(&aubi_key_record_layout);
}

void aub_key_record_free(struct aub_key_record *record)
{
	aubi_struct_free(&aubi_key_record_layout, record);
}

struct aub_crash_record *aub_crash_record_new(void)
{
	return aubi_struct_new(&aubi_crash_record_layout);
}

struct aub_name *aub_name_new(const char *name)
{
	struct aub_name *part = aubi_struct_new(&aubi_name_layout);

	aub_string_set(&part->name, name);
	return part;
}

struct aub_reported_probe *aub_reported_probe_new(void)
{
	return aubi_struct_new(&aubi_probe_result_layout);
}

struct aub_outstanding *aub_outstanding_new(void)
{
	return aubi_struct_new(&aubi_outstanding_layout);
}

struct aub_place_evidence *aub_place_evidence_new(void)
{
	return aubi_struct_new(&aubi_place_evidence_layout);
}

struct aub_quota_use_row *aub_quota_use_row_new(void)
{
	return aubi_struct_new(&aubi_quota_use_row_layout);
}

struct aub_place_limit *aub_place_limit_new(void)
{
	return aubi_struct_new(&aubi_place_limit_layout);
}

struct aub_place_health_row *aub_place_health_row_new(void)
{
	return aubi_struct_new(&aubi_place_health_row_layout);
}

const char *aub_message_type_name(enum aub_message_type type)
{
	const struct aubi_layout *layout = aubi_message_layout(type);

	return layout ? layout->name : "unrecognised";
}

static const char *name_at(const char *const *names, guint count, guint index)
{
	if (index >= count || !names[index])
		return "unrecognised";
	return names[index];
}

const char *aub_member_state_name(enum aub_member_state state)
{
	static const char *const names[] = {
		[AUB_MEMBER_LIVE] = "live",
		[AUB_MEMBER_LEAVING] = "leaving",
		[AUB_MEMBER_DEAD] = "dead",
		[AUB_MEMBER_STOPPED] = "stopped",
	};

	return name_at(names, G_N_ELEMENTS(names), state);
}

const char *aub_outcome_name(enum aub_outcome outcome)
{
	static const char *const names[] = {
		[AUB_OUTCOME_RUN] = "run",
		[AUB_OUTCOME_NOT_RUN] = "not-run",
		[AUB_OUTCOME_UNKNOWN] = "unknown",
	};

	return name_at(names, G_N_ELEMENTS(names), outcome);
}
