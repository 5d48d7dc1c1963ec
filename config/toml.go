// Package config reads what people write: the settings of each process and the
// document that operators apply. Both are TOML and strictly checked; a refusal
// names the file, the line and the remedy.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"

	"shedkeel.org/shedkeel"
)

// maxFile bounds a file of settings or a document, in bytes.
const maxFile = 1 << 20

// decode reads TOML strictly into target. Its error is an InvalidError.
func decode(name string, text []byte, target any) error {
	if len(text) > maxFile {
		return &shedkeel.InvalidError{Where: name, What: fmt.Sprintf("it is %d bytes long", len(text)), Remedy: fmt.Sprintf("keep it within %d", maxFile)}
	}
	meta, err := toml.Decode(string(text), target)
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return &shedkeel.InvalidError{Where: fmt.Sprintf("%s:%d", name, parseErr.Position.Line), What: parseErr.Message, Remedy: "mend that line"}
	}
	if err != nil {
		return &shedkeel.InvalidError{Where: name, What: err.Error(), Remedy: "give the key a value of that type"}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return &shedkeel.InvalidError{Where: fmt.Sprintf("%s:%d", name, lineOf(string(text), unknown[0])), What: "unknown key " + key, Remedy: "remove it or correct its name; docs/OPERATIONS.md lists all keys"}
	}
	return nil
}

// lineOf returns the line on which a key first stands, found by its last part.
func lineOf(text string, key toml.Key) int {
	last := key[len(key)-1]
	for index, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimLeft(line, " \t[")
		rest, found := strings.CutPrefix(trimmed, last)
		if found && (strings.HasPrefix(strings.TrimLeft(rest, " \t"), "=") || strings.HasPrefix(rest, "]")) {
			return index + 1
		}
	}
	return 1
}

// ReadFile reads a file that a person named. Its error is an InvalidError.
func ReadFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &shedkeel.InvalidError{Where: path, What: err.Error(), Remedy: "name a file that can be read"}
	}
	return text, nil
}
