package daemon

import (
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// Stop orders the director to end as package closing decides; Done tells when it has.
func (d *Daemon) Stop() { d.inbox.put(item{in: director.Stop{}}) }

// Done is closed once the director has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Kill ends the director at once, as a crash would: nothing that it owes is answered.
func (d *Daemon) Kill() {
	d.once.Do(func() { close(d.quit) })
	<-d.done
}

// cut ends every connection at once.
func (d *Daemon) cut() {
	d.server.Close()
	for _, c := range d.links {
		c.Reset()
	}
	if d.list != nil {
		d.list.Cut()
	}
}

// farewell lets what is queued go out, for a short while, and then ends every connection.
func (d *Daemon) farewell() {
	d.server.Refusing(true)
	d.server.Each(func(c *transport.Conn) { c.Close(closeGoing, "director closes") }) // what has come in part is no request
	for end := time.Now().Add(d.house.Door.Players.Write * 2); time.Now().Before(end); {
		open := 0
		d.server.Each(func(*transport.Conn) { open++ })
		if open == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	d.once.Do(func() { close(d.quit) })
	d.cut()
	d.log.Info().Msg("closed")
}
