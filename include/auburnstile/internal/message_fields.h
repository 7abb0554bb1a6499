/*
 * Layouts of the message structs, shared by their life cycle and codec.
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
	AUBI_FIELD_ENUM, /* 1 to `limit` */
	AUBI_FIELD_STRING, /* without NUL, `limit` bytes at most */
	AUBI_FIELD_BYTES, /* `limit` bytes at most */
	AUBI_FIELD_LIST /* `limit` elements at most */
};

struct aubi_layout;

struct aubi_field {
	enum aubi_field_kind kind;
	size_t offset;
	const char *name;
	gsize limit;
	const struct aubi_layout *element; /* of a list */
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
extern const struct aubi_layout aubi_place_evidence_layout;

/* NULL for a type that does not exist. */
const struct aubi_layout *aubi_message_layout(guint64 type);
guint aubi_layout_count(const struct aubi_layout *layout);

/* Empty struct of a layout, and its end. */
void *aubi_struct_new(const struct aubi_layout *layout);
void aubi_struct_free(const struct aubi_layout *layout, void *data);

G_END_DECLS

#endif
