// Package config reads and validates the files that operators write: the settings
// of each process and the configuration document that they apply. Both are TOML,
// and unknown keys are errors. An error names the file, the remedy and, if they are
// known, the line or the service or account.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"

	"shedkeel.org/shedkeel"
)

// maxFileBytes limits the size of a settings file or a document.
const maxFileBytes = 1 << 20

// decode decodes TOML into target and rejects unknown keys. The error is an
// InvalidError.
func decode(name string, text []byte, target any) error {
	if len(text) > maxFileBytes {
		return &shedkeel.InvalidError{Where: name, What: fmt.Sprintf("it is %d bytes long", len(text)), Remedy: fmt.Sprintf("keep it within %d", maxFileBytes)}
	}
	meta, err := toml.Decode(string(text), target)
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return &shedkeel.InvalidError{Where: fmt.Sprintf("%s:%d", name, parseErr.Position.Line), What: parseErr.Message, Remedy: "correct that line"}
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

// lineOf returns the number of the first line that sets the last part of the key or
// has that part as a table's name, or 1 if there is no such line. The result is approximate:
// another table may have a key of the same name.
func lineOf(text string, key toml.Key) int {
	lastPart := key[len(key)-1]
	for index, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimLeft(line, " \t[")
		rest, found := strings.CutPrefix(trimmed, lastPart)
		if found && (strings.HasPrefix(strings.TrimLeft(rest, " \t"), "=") || strings.HasPrefix(rest, "]")) {
			return index + 1
		}
	}
	return 1
}

// ReadFile reads a file that the operator named. The error is an InvalidError. It
// does not limit the size of the file: decode and policy.Run do.
func ReadFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &shedkeel.InvalidError{Where: path, What: err.Error(), Remedy: "name a file that can be read"}
	}
	return text, nil
}
