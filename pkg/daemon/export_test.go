package daemon

import "net"

// UseSockets makes the daemon get its sockets from the given functions.
func (d *Daemon) UseSockets(listen func(network, address string) (net.Listener, error), listenPacket func(network, address string) (net.PacketConn, error)) {
	d.listen, d.peerEndpoint.listenPacket, d.gossip.ListenPacket = listen, listenPacket, listenPacket
}
