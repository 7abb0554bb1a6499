/*
 * Field tables (layouts) of the message structs, used to allocate, free, copy,
 * encode and decode them.
 */
#ifndef AUBURNSTILE_INTERNAL_MESSAGE_FIELDS_H
#define AUBURNSTILE_INTERNAL_MESSAGE_FIELDS_H

#include <auburnstile/message.h>

#include <stddef.h>

G_BEGIN_DECLS

enum aubi_field_kind {
	AUBI_FIELD_END,
	AUBI_FIELD_U64,
	AUBI_FIELD_U32,
	AUBI_FIELD_BOOL,
	AUBI_FIELD_ENUM, /* value from 1 to `limit` */
	AUBI_FIELD_STRING, /* up to `limit` bytes, no NUL */
	AUBI_FIELD_BYTES, /* up to `limit` bytes */
	AUBI_FIELD_LIST /* up to `limit` elements */
};

struct aubi_layout;

struct aubi_field {
	enum aubi_field_kind kind;
	size_t offset;
	const char *name;
	gsize limit;
	const struct aubi_layout *element; /* of a list's elements, else NULL */
};

struct aubi_layout {
	const char *name;
	size_t size;
	const struct aubi_field *fields; /* ends with AUBI_FIELD_END */
};

extern const struct aubi_layout aubi_header_layout;
extern const struct aubi_layout aubi_member_layout;
extern const struct aubi_layout aubi_assignment_layout;
extern const struct aubi_layout aubi_key_record_layout;
extern const struct aubi_layout aubi_crash_record_layout;
extern const struct aubi_layout aubi_upstream_state_layout;
extern const struct aubi_layout aubi_name_layout;
extern const struct aubi_layout aubi_outstanding_layout;
extern const struct aubi_layout aubi_probe_result_layout;
extern const struct aubi_layout aubi_place_health_row_layout;
extern const struct aubi_layout aubi_place_limit_layout;
extern const struct aubi_layout aubi_quota_use_row_layout;
extern const struct aubi_layout aubi_place_evidence_layout;

/* Returns the layout of a message type; NULL if the type is unknown. */
const struct aubi_layout *aubi_message_layout(guint64 type);
/* Returns the number of fields. */
guint aubi_layout_count(const struct aubi_layout *layout);

/*
 * Allocate an empty struct (numbers 0, enumerations 1, strings "", lists empty)
 * and free one with all that it owns; NULL is ignored.
 */
void *aubi_struct_new(const struct aubi_layout *layout);
void aubi_struct_free(const struct aubi_layout *layout, void *data);

G_END_DECLS

#endif
