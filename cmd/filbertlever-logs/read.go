package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/outcome"
)

// maxLineLength bounds a line. The longest lines that entries write have 1 KB.
const maxLineLength = 64 << 10

// readCounts counts the files and lines that were read. Bad is the number of
// lines that could not be parsed.
type readCounts struct {
	Files, Lines, Bad int
}

// readDirectory reads all files below a directory. A file may hold the lines of several entries. The
// lines of each entry must be in order.
func readDirectory(directory string, goal time.Duration) (*outcome.Totals, readCounts, error) {
	day := &outcome.Totals{}
	tally := outcome.New(goal)
	counts, err := readFiles(directory, func(data []byte) bool { return addLine(data, tally) }, func() {
		day.Add(tally)
		tally = outcome.New(goal)
	})
	return day, counts, err
}

// readFiles calls add for each line of all files below a directory, and done after each file. Add reports
// whether the line could be parsed.
func readFiles(directory string, add func(data []byte) bool, done func()) (readCounts, error) {
	var counts readCounts
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		counts.Files++
		if err := readLines(file, add, &counts); err != nil {
			return fmt.Errorf("read %s: %w", path, err)
		}
		done()
		return nil
	})
	return counts, err
}

// readLines calls add for each line.
func readLines(from io.Reader, add func(data []byte) bool, counts *readCounts) error {
	reader := bufio.NewReaderSize(from, maxLineLength)
	for {
		data, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			counts.Lines++
			counts.Bad++
			if err := skipLine(reader); err != nil {
				return ignoreEOF(err)
			}
			continue
		}
		if len(bytes.TrimSpace(data)) > 0 {
			counts.Lines++
			if !add(data) {
				counts.Bad++
			}
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// ignoreEOF returns nil if err is io.EOF, and err otherwise.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// skipLine discards the rest of a line that is longer than maxLineLength.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// addLine parses a line and adds it to tally. It reports whether the line could
// be parsed.
func addLine(data []byte, tally *outcome.Tally) bool {
	data, ok := trimPrefix(data)
	if !ok {
		return false
	}
	var line outcome.Line
	if json.Unmarshal(data, &line) != nil || line.Time.IsZero() || line.Message == "" {
		return false
	}
	tally.Add(&line)
	return true
}

// trimPrefix returns the JSON object of a line, before which log collectors add text. It returns false if
// there is none.
func trimPrefix(data []byte) ([]byte, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return nil, false
	}
	return data[start:], true
}
