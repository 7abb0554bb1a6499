/*
 * The only file that knows toml++: no C library for TOML is packaged.
 *
 * Built without exceptions, so that nothing is thrown through C frames.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/toml_reader.h>

#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#define TOML_ENABLE_WINDOWS_COMPAT 0
#include <toml++/toml.h>

#include <string>
#include <string_view>

struct aub_toml {
	toml::table root;
};

static const toml::node *unwrap(const struct aub_toml_node *node)
{
	return reinterpret_cast<const toml::node *>(node);
}

static const struct aub_toml_node *wrap(const toml::node *node)
{
	return reinterpret_cast<const struct aub_toml_node *>(node);
}

struct aub_toml *aub_toml_parse(const char *text, gsize length,
				const char *source, GError **error)
{
	toml::parse_result result = toml::parse(std::string_view(text, length));

	if (!result) {
		const toml::parse_error &fault = result.error();
		std::string what(fault.description());

		aub_error_set(error, AUB_ERROR_INVALID, "read TOML", source,
			      "1 problem\n%s:%u: syntax: %s", source,
			      static_cast<guint>(fault.source().begin.line),
			      what.c_str());
		return nullptr;
	}
	return new aub_toml{ std::move(result).table() };
}

void aub_toml_free(struct aub_toml *document)
{
	delete document;
}

const struct aub_toml_node *aub_toml_root(const struct aub_toml *document)
{
	return wrap(&document->root);
}

enum aub_toml_type aub_toml_type(const struct aub_toml_node *node)
{
	switch (unwrap(node)->type()) {
	case toml::node_type::table:
		return AUB_TOML_TABLE;
	case toml::node_type::array:
		return AUB_TOML_ARRAY;
	case toml::node_type::string:
		return AUB_TOML_STRING;
	case toml::node_type::integer:
		return AUB_TOML_INTEGER;
	case toml::node_type::boolean:
		return AUB_TOML_BOOLEAN;
	default:
		return AUB_TOML_OTHER;
	}
}

guint aub_toml_line(const struct aub_toml_node *node)
{
	return unwrap(node)->source().begin.line;
}

guint aub_toml_column(const struct aub_toml_node *node)
{
	return unwrap(node)->source().begin.column;
}

guint aub_toml_size(const struct aub_toml_node *node)
{
	const toml::node *inner = unwrap(node);

	if (const toml::table *table = inner->as_table())
		return static_cast<guint>(table->size());
	if (const toml::array *array = inner->as_array())
		return static_cast<guint>(array->size());
	return 0;
}

const struct aub_toml_node *aub_toml_item(const struct aub_toml_node *array,
					  guint index)
{
	return wrap(unwrap(array)->as_array()->get(index));
}

const struct aub_toml_node *aub_toml_member(const struct aub_toml_node *table,
					    const char *key)
{
	return wrap(unwrap(table)->as_table()->get(key));
}

void aub_toml_visit(const struct aub_toml_node *table, aub_toml_visitor *visit,
		    void *context)
{
	for (auto &&[key, value] : *unwrap(table)->as_table()) {
		std::string name(key.str());

		visit(name.c_str(), wrap(&value), context);
	}
}

bool aub_toml_string(const struct aub_toml_node *node, const char **value)
{
	const toml::value<std::string> *string = unwrap(node)->as_string();

	if (!string || string->get().find('\0') != std::string::npos)
		return false;
	*value = string->get().c_str();
	return true;
}

bool aub_toml_integer(const struct aub_toml_node *node, gint64 *value)
{
	const toml::value<int64_t> *integer = unwrap(node)->as_integer();

	if (!integer)
		return false;
	*value = integer->get();
	return true;
}

bool aub_toml_boolean(const struct aub_toml_node *node, bool *value)
{
	const toml::value<bool> *boolean = unwrap(node)->as_boolean();

	if (!boolean)
		return false;
	*value = boolean->get();
	return true;
}

const char *aub_toml_type_name(enum aub_toml_type type)
{
	static const char *const names[] = { "a table",	   "a list",
					     "a string",   "an integer",
					     "true/false", "another type" };

	return names[type];
}
