package daemon

import (
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// Stop orders the director to end as package shutdown decides; Done tells when it has.
func (d *Daemon) Stop() { d.inbox.put(item{input: director.Stop{}}) }

// Done is closed once the director has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Kill ends the director at once, as a crash would: nothing that it owes is answered.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() { close(d.quit) })
	<-d.done
}

// closeAll ends every connection at once.
func (d *Daemon) closeAll() {
	d.server.Close()
	for _, c := range d.links {
		c.Reset()
	}
	if d.discovery != nil {
		d.discovery.Abort()
	}
}

// drainConnections lets what is queued go out, for a short while, and then ends every connection.
func (d *Daemon) drainConnections() {
	d.server.SetRefusing(true)
	d.server.Each(func(c *transport.Conn) { c.Close(closeGoingAway, "director closes") }) // what has come in part is no request
	for end := time.Now().Add(d.config.ConnectionLimits.Clients.WriteTimeout * 2); time.Now().Before(end); {
		open := 0
		d.server.Each(func(*transport.Conn) { open++ })
		if open == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	d.killOnce.Do(func() { close(d.quit) })
	d.closeAll()
	d.log.Info().Msg("closed")
}
