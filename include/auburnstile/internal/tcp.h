/* Non-blocking TCP and UDP sockets. Hosts are given as IP addresses. */
#ifndef AUBURNSTILE_INTERNAL_TCP_H
#define AUBURNSTILE_INTERNAL_TCP_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Parses an IPv4 "ip:port". Returns false if the text is invalid. */
bool aub_socket_address_parse(const char *address,
			      struct sockaddr_in *socket_address);

/*
 * Listens on "ip:port". Returns the descriptor, or -1 with an error that names
 * the address.
 */
int aub_tcp_listen(const char *address, GError **error);

/*
 * Listens on a free port of the loopback interface. Sets `*address` to the
 * "ip:port" (g_free).
 */
int aub_tcp_listen_loopback(char **address);

/* Starts a connection. Returns -1 and sets `error` if it fails immediately. */
int aub_tcp_connect(const char *address, GError **error);
/* The same from the local IP `source`; NULL leaves the choice to the kernel. */
int aub_tcp_connect_from(const char *source, const char *address,
			 GError **error);

/*
 * Sets whether a connection that was opened here lasts while its peer reads
 * nothing. Otherwise it ends a few seconds after data was sent that the peer
 * neither acknowledges nor has room for.
 */
void aub_tcp_set_patient(int fd, bool patient);

/* Accepts one connection. Returns -1 if none is pending. */
int aub_tcp_accept(int listener);

/* Returns a bound UDP socket, or -1 with an error. */
int aub_udp_bind(const char *address, GError **error);

G_END_DECLS

#endif
