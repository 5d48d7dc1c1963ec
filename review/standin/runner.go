package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// The answers of a plain runner are rows, as from a database. They are written in parts and without a
// length, and finish when the connection does.
const (
	answerRows = 40
	partRows   = 10
	workTime   = 30 * time.Millisecond
	partTime   = 10 * time.Millisecond
)

// wholeAnswer returns the whole body of the answer to a request.
func wholeAnswer(attempt string) string {
	rows := ""
	for row := range answerRows {
		rows += fmt.Sprintf("row %02d of %02d for %s\n", row+1, answerRows, attempt)
	}
	return rows
}

// runPlain runs a plain runner until its process is killed.
func runPlain(id, address, store string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	go beatPlain(id, listener.Addr().String(), store)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go servePlain(conn, id)
	}
}

// beatPlain writes the record of a runner with each heartbeat.
func beatPlain(id, address, store string) {
	for {
		record := fmt.Sprintf(`{"service":"plain","address":%q,"zone":"ic-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":0}`, address)
		if err := putRecord(store, "servers/"+id, record); err != nil {
			fmt.Println(err)
		}
		time.Sleep(heartbeat)
	}
}

// putRecord writes a record to the store.
func putRecord(store, key, value string) error {
	put := map[string]any{"tls_key": key, "value": []byte(value), "lease": 0}
	body, err := json.Marshal(map[string]any{"expected_rev": []any{}, "put": []any{put}, "remove": []any{}})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+store+"/shedkeel/kv-txn", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// servePlain serves the one request of a connection.
func servePlain(conn net.Conn, id string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if request.Header.Get("X-Shedkeel-Expect-Instance") != id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Shedkeel-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	attempt := request.Header.Get("X-Shedkeel-Attempt-Id")
	fmt.Printf("runner %s runs request %s\n", id, attempt)
	time.Sleep(workTime)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Shedkeel-Attempt-Id: %s\r\nX-Shedkeel-Response-Seal: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", attempt, id+"."+attempt)
	rows := strings.SplitAfter(wholeAnswer(attempt), "\n")
	for first := 0; first < answerRows; first += partRows {
		_, _ = conn.Write([]byte(strings.Join(rows[first:first+partRows], "")))
		time.Sleep(partTime)
	}
	fmt.Printf("runner %s has sent its whole answer to request %s\n", id, attempt)
}
