package shedkeel

import "time"

// Duration is a time.Duration that is encoded as text such as "1m30s".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText parses the text with time.ParseDuration and returns its error.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(parsed)
	return nil
}
