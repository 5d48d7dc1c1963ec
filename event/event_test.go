package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCatalog holds the events and their page together.
func TestCatalog(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	assert.NilError(t, err)
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+ \| \w+ \| [^|]+) \|`).FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = true
	}
	numbers := map[int]bool{}
	for _, event := range Catalog() {
		row := fmt.Sprintf("%d | %s | %s", event.Number, event.Level, event.Text)
		assert.Assert(t, documented[row], "docs/EVENTS.md lacks: %s", row)
		assert.Assert(t, !numbers[event.Number], "number %d is used twice", event.Number)
		numbers[event.Number] = true
		delete(documented, row)
	}
	assert.Equal(t, len(documented), 0, "docs/EVENTS.md has events that the code lacks: %v", documented)
}

// TestCatalogIsComplete finds every event in the source of this package.
func TestCatalogIsComplete(t *testing.T) {
	source, err := os.ReadFile("event.go")
	assert.NilError(t, err)
	defined := regexp.MustCompile(`(?m)^\t\w+ += Event\{`).FindAllString(string(source), -1)
	assert.Equal(t, len(defined), len(Catalog()))
}

func TestWrite(t *testing.T) {
	var buffer bytes.Buffer
	log, err := NewLog(&buffer, "warn")
	assert.NilError(t, err)
	log.Write(Started)
	assert.Equal(t, buffer.Len(), 0, "an event below the level was written")
	log.Write(StoreAway, slog.String("error", "x"))
	var line map[string]any
	assert.NilError(t, json.Unmarshal(buffer.Bytes(), &line))
	assert.Equal(t, line["event"], 200.0)
	_, err = NewLog(&buffer, "loud")
	assert.ErrorContains(t, err, "debug, info, warn or error")
	(*Log)(nil).Write(Started)
}
