/*
 * Msgpack documents: the number of elements is checked before msgpack-c
 * decodes them.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/document.h>
#include <auburnstile/internal/frame_check.h>

#include <string.h>

struct aub_document {
	msgpack_unpacked unpacked;
};

struct aub_document *aub_document_parse(const void *data, gsize length,
					const char *step, const char *peer,
					GError **error)
{
	struct aub_document *document;
	size_t offset = 0;

	if (!aubi_document_check(data, length)) {
		aub_error_set(error, AUB_ERROR_INVALID, step, peer,
			      "not msgpack, or truncated");
		return NULL;
	}
	document = g_new0(struct aub_document, 1);
	msgpack_unpacked_init(&document->unpacked);
	if (msgpack_unpack_next(&document->unpacked, data, length, &offset) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    offset != length) {
		aub_error_set(error, AUB_ERROR_INVALID, step, peer,
			      "not one msgpack value");
		aub_document_free(document);
		return NULL;
	}
	if (document->unpacked.data.type != MSGPACK_OBJECT_MAP) {
		aub_error_set(error, AUB_ERROR_INVALID, step, peer,
			      "must be a map");
		aub_document_free(document);
		return NULL;
	}
	return document;
}

void aub_document_free(struct aub_document *document)
{
	msgpack_unpacked_destroy(&document->unpacked);
	g_free(document);
}

const msgpack_object *aub_document_root(const struct aub_document *document)
{
	return &document->unpacked.data;
}

bool aub_value_text_is(const msgpack_object *value, const char *text)
{
	return value && value->type == MSGPACK_OBJECT_STR &&
	       value->via.str.size == strlen(text) &&
	       !memcmp(value->via.str.ptr, text, value->via.str.size);
}

const msgpack_object *aub_map_get(const msgpack_object *map, const char *name)
{
	if (!map || map->type != MSGPACK_OBJECT_MAP)
		return NULL;
	for (guint i = 0; i < map->via.map.size; i++) {
		const msgpack_object_kv *pair = &map->via.map.ptr[i];

		if (aub_value_text_is(&pair->key, name))
			return &pair->val;
	}
	return NULL;
}

static const msgpack_object *get_typed(const msgpack_object *map,
				       const char *name,
				       msgpack_object_type type)
{
	const msgpack_object *value = aub_map_get(map, name);

	return value && value->type == type ? value : NULL;
}

const msgpack_object *aub_map_map(const msgpack_object *map, const char *name)
{
	return get_typed(map, name, MSGPACK_OBJECT_MAP);
}

const msgpack_object *aub_map_list(const msgpack_object *map, const char *name)
{
	return get_typed(map, name, MSGPACK_OBJECT_ARRAY);
}

static bool is_integer(const msgpack_object *value)
{
	return value && (value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ||
			 (value->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
			  value->via.u64 <= G_MAXINT64));
}

bool aub_map_has_integer(const msgpack_object *map, const char *name)
{
	return is_integer(aub_map_get(map, name));
}

gint64 aub_map_integer(const msgpack_object *map, const char *name)
{
	const msgpack_object *value = aub_map_get(map, name);

	return is_integer(value) ? value->via.i64 : 0;
}

bool aub_map_boolean(const msgpack_object *map, const char *name)
{
	const msgpack_object *value =
		get_typed(map, name, MSGPACK_OBJECT_BOOLEAN);

	return value && value->via.boolean;
}

guint aub_list_length(const msgpack_object *list)
{
	return list && list->type == MSGPACK_OBJECT_ARRAY ?
		       list->via.array.size :
		       0;
}

const msgpack_object *aub_list_get(const msgpack_object *list, guint index)
{
	return index < aub_list_length(list) ? &list->via.array.ptr[index] :
					       NULL;
}

char *aub_value_text(const msgpack_object *value)
{
	const msgpack_object_str *text;

	if (!value || value->type != MSGPACK_OBJECT_STR)
		return NULL;
	text = &value->via.str;
	if (!text->size)
		return g_strdup("");
	if (!g_utf8_validate_len(text->ptr, text->size, NULL))
		return NULL;
	return g_strndup(text->ptr, text->size);
}

bool aub_value_number(const msgpack_object *value, double *number)
{
	if (!value)
		return false;
	switch (value->type) {
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
		*number = (double)value->via.u64;
		return true;
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		*number = (double)value->via.i64;
		return true;
	case MSGPACK_OBJECT_FLOAT32:
	case MSGPACK_OBJECT_FLOAT64:
		*number = value->via.f64;
		return true;
	default:
		return false;
	}
}
