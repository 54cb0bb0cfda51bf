// Package yuccatunnel connects an entry to the backend servers, directly or through
// another entry. An entry is a proxy instance of the system. An entry that has lost its
// own links to all servers, while the other entries still reach them, goes on serving
// its callers through tunnels: connections to another entry that carries their bytes
// to and from a server.
//
// Only the way of the bytes differs. The entry that has the caller chooses the server,
// counts the attempts and decides what the caller is told, as it does on a direct
// connection.
//
// The bytes from a server travel in frames, with a mark at their end: the other entry's
// process may be killed at any moment, and the kernel then ends its connections like those
// of a complete response.
//
// Detector decides whether the entry is cut off; it has no clock and does no I/O.
// Dialer opens the connections and looks for the end of the partition. Listener serves
// the tunnels of other entries.
//
//	dialer := yuccatunnel.NewDialer(settings, monitor.TunnelPeers, onChange, log)
//	conn, err := dialer.Dial(ctx, yuccarelay.Server{Name: "i-7", Addr: "10.1.0.9:80", Region: "r", Domain: "z1"})
package yuccatunnel
