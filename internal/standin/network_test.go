package standin

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns both ends of a connection over the network.
func connect(t *testing.T, network *Network) (near, far net.Conn) {
	t.Helper()
	listener := network.Listen()
	near, err := network.DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	far, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _, _ = near.Close(), far.Close(), listener.Close() })
	return near, far
}

// TestConnection checks that a connection delivers what was written before it was closed, and blocks
// a writer whose peer does not read.
func TestConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := connect(t, &Network{Buffer: 4})
		go func() {
			_, err := near.Write([]byte("0123456789"))
			assert.Check(t, err)
			assert.Check(t, near.Close())
		}()
		synctest.Wait()
		buffer := make([]byte, 100)
		count, err := far.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:count]), "0123", "the buffer holds four bytes")
		rest, err := io.ReadAll(far)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "456789")
		_, err = far.Write([]byte("x"))
		assert.ErrorIs(t, err, syscall.EPIPE)
		_, err = near.Read(buffer)
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}

// TestDeadlines checks when reads and writes end that nothing else ends.
func TestDeadlines(t *testing.T) {
	cases := map[string]struct {
		call func(conn net.Conn) error
		set  func(conn net.Conn) func(time.Time) error
	}{
		"read":  {func(conn net.Conn) error { _, err := conn.Read(make([]byte, 1)); return err }, func(conn net.Conn) func(time.Time) error { return conn.SetReadDeadline }},
		"write": {func(conn net.Conn) error { _, err := conn.Write(make([]byte, 5)); return err }, func(conn net.Conn) func(time.Time) error { return conn.SetWriteDeadline }},
		"both":  {func(conn net.Conn) error { _, err := conn.Read(make([]byte, 1)); return err }, func(conn net.Conn) func(time.Time) error { return conn.SetDeadline }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, _ := connect(t, &Network{Buffer: 4})
				set, began := test.set(near), time.Now()
				assert.NilError(t, set(began.Add(time.Second)))
				time.AfterFunc(500*time.Millisecond, func() { assert.Check(t, set(began.Add(2*time.Second))) })
				assert.ErrorIs(t, test.call(near), os.ErrDeadlineExceeded)
				assert.Equal(t, time.Since(began), 2*time.Second, "a later deadline replaces the first")
				assert.ErrorIs(t, test.call(near), os.ErrDeadlineExceeded, "a deadline that has passed stays")
				assert.NilError(t, set(time.Time{}))
				ended := make(chan error, 1)
				go func() { ended <- test.call(near) }()
				time.Sleep(time.Hour)
				assert.Equal(t, len(ended), 0, "without a deadline the call waits")
				assert.NilError(t, set(time.Now().Add(-1)))
				assert.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
			})
		})
	}
}

// TestListener checks that addresses are refused before and after they are listened at, and that a
// listener closes the connections that it did not accept.
func TestListener(t *testing.T) {
	network := &Network{}
	_, err := network.DialContext(t.Context(), "tcp", "10.0.0.1:80")
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	listener := network.Listen()
	address := listener.Addr().String()
	_, err = network.ListenAt(address)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	waiting, err := network.DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = waiting.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_, err = listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = network.DialContext(t.Context(), "tcp", address)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	again, err := network.ListenAt(address)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}

// TestDatagrams checks that datagrams arrive with the address of their sender, and that those to an
// address without a socket are lost.
func TestDatagrams(t *testing.T) {
	network := &Network{}
	first, second := network.ListenPacket(), network.ListenPacket()
	_, err := first.WriteTo([]byte("hello"), second.LocalAddr())
	assert.NilError(t, err)
	buffer := make([]byte, 100)
	count, from, err := second.ReadFrom(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:count]), "hello")
	assert.Equal(t, from.String(), first.LocalAddr().String())
	assert.NilError(t, second.Close())
	_, err = first.WriteTo([]byte("lost"), second.LocalAddr())
	assert.NilError(t, err)
	_, _, err = second.ReadFrom(buffer)
	assert.ErrorIs(t, err, net.ErrClosed)
}
