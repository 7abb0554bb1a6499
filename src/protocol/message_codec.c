/*
 * Msgpack encoder and decoder of the messages, driven by their layouts.
 *
 * The decoder treats its input as untrusted: the type, length and range of
 * each value are checked against its field, and a struct with too few or too
 * many fields is rejected.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/frame_check.h>
#include <auburnstile/internal/message_fields.h>

#include <msgpack.h>
#include <string.h>

#define STEP_DECODE "decode message"
#define STEP_ENCODE "encode message"

static void pack_struct(msgpack_packer *packer,
			const struct aubi_layout *layout, const void *data);

static void pack_list(msgpack_packer *packer, const struct aubi_layout *element,
		      const GPtrArray *list)
{
	msgpack_pack_array(packer, list->len);
	for (guint i = 0; i < list->len; i++) {
		msgpack_pack_array(packer, aubi_layout_count(element));
		pack_struct(packer, element, g_ptr_array_index(list, i));
	}
}

static void pack_field(msgpack_packer *packer, const struct aubi_field *field,
		       const void *target)
{
	const struct aub_bytes *bytes = target;
	const char *string;

	switch (field->kind) {
	case AUBI_FIELD_U64:
		msgpack_pack_uint64(packer, *(const guint64 *)target);
		break;
	case AUBI_FIELD_U32:
		msgpack_pack_uint32(packer, *(const guint32 *)target);
		break;
	case AUBI_FIELD_ENUM:
		msgpack_pack_uint32(packer, *(const guint *)target);
		break;
	case AUBI_FIELD_BOOL:
		if (*(const bool *)target)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case AUBI_FIELD_STRING:
		string = *(const char *const *)target;
		msgpack_pack_str_with_body(packer, string, strlen(string));
		break;
	case AUBI_FIELD_BYTES:
		msgpack_pack_bin_with_body(packer, bytes->data, bytes->length);
		break;
	case AUBI_FIELD_LIST:
		pack_list(packer, field->element, *(GPtrArray *const *)target);
		break;
	case AUBI_FIELD_END:
		break;
	}
}

static void pack_struct(msgpack_packer *packer,
			const struct aubi_layout *layout, const void *data)
{
	const struct aubi_field *field;

	for (field = layout->fields; field->kind != AUBI_FIELD_END; field++)
		pack_field(packer, field, (const char *)data + field->offset);
}

GBytes *aub_message_encode(const struct aub_message *message, GError **error)
{
	const struct aubi_layout *layout = aubi_message_layout(message->type);
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes = NULL;

	g_assert(layout);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2 + aubi_layout_count(layout));
	msgpack_pack_uint32(&packer, AUB_PROTOCOL_VERSION);
	msgpack_pack_uint32(&packer, message->type);
	pack_struct(&packer, layout, message);
	if (buffer.size <= AUB_FRAME_BYTES_MAX)
		bytes = g_bytes_new(buffer.data, buffer.size);
	else
		aub_error_set(error, AUB_ERROR_TOO_LARGE, STEP_ENCODE,
			      layout->name, "%zu bytes, limit %u", buffer.size,
			      AUB_FRAME_BYTES_MAX);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

/* Context for decoding errors. */
struct decoding {
	const char *peer;
	const char *message;
	GError **error;
};

static bool reject(const struct decoding *decoding, const char *field,
		   const char *problem)
{
	aub_error_set(decoding->error, AUB_ERROR_INVALID, STEP_DECODE,
		      decoding->peer, "%s: %s: %s", decoding->message, field,
		      problem);
	return false;
}

static bool read_number(const struct decoding *decoding,
			const struct aubi_field *field,
			const msgpack_object *object, guint64 min, guint64 max,
			guint64 *number)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return reject(decoding, field->name, "not a number");
	if (object->via.u64 < min || object->via.u64 > max)
		return reject(decoding, field->name, "out of range");
	*number = object->via.u64;
	return true;
}

static bool read_string(const struct decoding *decoding,
			const struct aubi_field *field,
			const msgpack_object *object, char **target)
{
	const msgpack_object_str *string = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR)
		return reject(decoding, field->name, "not a string");
	if (string->size > field->limit)
		return reject(decoding, field->name, "too long");
	if (string->size && memchr(string->ptr, '\0', string->size))
		return reject(decoding, field->name, "contains a NUL");
	g_free(*target);
	*target = g_strndup(string->size ? string->ptr : "", string->size);
	return true;
}

static bool read_bytes(const struct decoding *decoding,
		       const struct aubi_field *field,
		       const msgpack_object *object, struct aub_bytes *target)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return reject(decoding, field->name, "not a byte string");
	if (object->via.bin.size > field->limit)
		return reject(decoding, field->name, "too long");
	aub_bytes_set(target, object->via.bin.ptr, object->via.bin.size);
	return true;
}

static bool read_struct(const struct decoding *decoding,
			const struct aubi_layout *layout,
			const msgpack_object *objects, guint count, void *data);

static bool read_list(const struct decoding *decoding,
		      const struct aubi_field *field,
		      const msgpack_object *object, GPtrArray *list)
{
	const msgpack_object_array *array = &object->via.array;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return reject(decoding, field->name, "not a list");
	if (array->size > field->limit)
		return reject(decoding, field->name, "too many elements");
	for (guint i = 0; i < array->size; i++) {
		const msgpack_object *element = &array->ptr[i];
		void *data;

		if (element->type != MSGPACK_OBJECT_ARRAY)
			return reject(decoding, field->name,
				      "element is not a list of fields");
		data = aubi_struct_new(field->element);
		g_ptr_array_add(list, data);
		if (!read_struct(decoding, field->element,
				 element->via.array.ptr,
				 element->via.array.size, data))
			return false;
	}
	return true;
}

static bool read_field(const struct decoding *decoding,
		       const struct aubi_field *field,
		       const msgpack_object *object, void *target)
{
	guint64 number = 0;

	switch (field->kind) {
	case AUBI_FIELD_U64:
		return read_number(decoding, field, object, 0, G_MAXUINT64,
				   target);
	case AUBI_FIELD_U32:
		if (!read_number(decoding, field, object, 0, G_MAXUINT32,
				 &number))
			return false;
		*(guint32 *)target = (guint32)number;
		return true;
	case AUBI_FIELD_ENUM:
		if (!read_number(decoding, field, object, 1, field->limit,
				 &number))
			return false;
		*(guint *)target = (guint)number;
		return true;
	case AUBI_FIELD_BOOL:
		if (object->type != MSGPACK_OBJECT_BOOLEAN)
			return reject(decoding, field->name, "not a boolean");
		*(bool *)target = object->via.boolean;
		return true;
	case AUBI_FIELD_STRING:
		return read_string(decoding, field, object, target);
	case AUBI_FIELD_BYTES:
		return read_bytes(decoding, field, object, target);
	case AUBI_FIELD_LIST:
		return read_list(decoding, field, object,
				 *(GPtrArray **)target);
	case AUBI_FIELD_END:
		break;
	}
	g_assert_not_reached();
}

static bool read_struct(const struct decoding *decoding,
			const struct aubi_layout *layout,
			const msgpack_object *objects, guint count, void *data)
{
	if (count != aubi_layout_count(layout))
		return reject(decoding, layout->name, "wrong number of fields");
	for (guint i = 0; i < count; i++) {
		const struct aubi_field *field = &layout->fields[i];

		if (!read_field(decoding, field, &objects[i],
				(char *)data + field->offset))
			return false;
	}
	return true;
}

static struct aub_message *read_message(struct decoding *decoding,
					const msgpack_object *root)
{
	const msgpack_object *objects = root->via.array.ptr;
	const struct aubi_layout *layout = NULL;
	struct aub_message *message;

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 2) {
		reject(decoding, "frame", "not a list of version and type");
		return NULL;
	}
	if (objects[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    objects[0].via.u64 != AUB_PROTOCOL_VERSION) {
		reject(decoding, "version", "unsupported version");
		return NULL;
	}
	if (objects[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		layout = aubi_message_layout(objects[1].via.u64);
	if (!layout) {
		reject(decoding, "type", "unknown message type");
		return NULL;
	}
	decoding->message = layout->name;
	message = aubi_struct_new(layout);
	message->type = (enum aub_message_type)objects[1].via.u64;
	if (!read_struct(decoding, layout, objects + 2,
			 root->via.array.size - 2, message)) {
		aub_message_free(message);
		return NULL;
	}
	return message;
}

struct aub_message *aub_message_decode(const void *data, gsize length,
				       const char *peer, GError **error)
{
	struct decoding decoding = {
		.peer = peer,
		.message = "message",
		.error = error,
	};
	struct aub_message *message = NULL;
	msgpack_unpacked unpacked;
	size_t offset = 0;

	if (!aubi_frame_check(data, length)) {
		reject(&decoding, "frame", "not a valid msgpack frame");
		return NULL;
	}
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, length, &offset) !=
	    MSGPACK_UNPACK_SUCCESS)
		reject(&decoding, "frame", "not msgpack");
	else if (offset != length)
		reject(&decoding, "frame", "surplus bytes at the end");
	else
		message = read_message(&decoding, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return message;
}
