/*
 * Configurations seen lately, so that a conflict can show the one an
 * operator's edit began from. The last of them is the one held.
 */
#include <auburnstile/internal/control.h>
#include <auburnstile/internal/compression.h>

#define BOOK_PAGES 32 /* a full-size inventory is about 0.1 MB a page */

struct aubi_book {
	GPtrArray *configs; /* of struct aub_config, versions rising */
	char *json; /* of the held one, as stored */
	gsize length;
	GBytes *packed; /* the same, compressed; NULL until asked for */
};

struct aubi_book *aubi_book_new(void)
{
	struct aubi_book *book = g_new0(struct aubi_book, 1);

	book->configs =
		g_ptr_array_new_with_free_func((GDestroyNotify)aub_config_free);
	return book;
}

void aubi_book_free(struct aubi_book *book)
{
	if (!book)
		return;
	g_ptr_array_unref(book->configs);
	g_clear_pointer(&book->packed, g_bytes_unref);
	g_free(book->json);
	g_free(book);
}

void aubi_book_add(struct aubi_book *book, struct aub_config *config,
		   const char *json, gsize length)
{
	g_ptr_array_add(book->configs, config);
	if (book->configs->len > BOOK_PAGES)
		g_ptr_array_remove_index(book->configs, 0);
	g_clear_pointer(&book->packed, g_bytes_unref);
	g_free(book->json);
	book->json = g_strndup(json, length);
	book->length = length;
}

const struct aub_config *aubi_book_held(const struct aubi_book *book)
{
	if (!book->configs->len)
		return NULL;
	return book->configs->pdata[book->configs->len - 1];
}

const struct aub_config *aubi_book_find(const struct aubi_book *book,
					guint64 version)
{
	guint i;

	for (i = 0; i < book->configs->len; i++) {
		const struct aub_config *config = book->configs->pdata[i];

		if (config->version == version)
			return config;
	}
	return NULL;
}

const char *aubi_book_json(const struct aubi_book *book, gsize *length)
{
	*length = book->length;
	return book->json;
}

GBytes *aubi_book_packed(struct aubi_book *book)
{
	if (!book->packed)
		book->packed = aubi_compress(book->json, book->length);
	return book->packed;
}
