package main

import (
	_ "embed"
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// kind is where a word stands.
type kind string

const (
	inIdentifier kind = "an identifier"
	inComment    kind = "a comment"
	inPage       kind = "a page"
)

// place is one withdrawn word in a file.
type place struct {
	file string
	line int
	word string
	kind kind
}

//go:embed withdrawn.txt
var withdrawnText string

//go:embed clean.txt
var cleanText string

// lines returns the lines of an embedded list without comments and blank ones.
func lines(text string) []string {
	var kept []string
	for line := range strings.Lines(text) {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line != "" {
			kept = append(kept, line)
		}
	}
	return kept
}

// cleanPlaces returns the folders and pages that have to be clean.
func cleanPlaces() []string { return lines(cleanText) }

var (
	withdrawn = withdrawnWords()
	// capitalsThenWord is where an abbreviation ends within an identifier: "HTTPNews" is "HTTP News".
	capitalsThenWord = regexp.MustCompile(`([A-Z])([A-Z][a-z])`)
	words            = regexp.MustCompile(`[A-Z]+[a-z0-9]*|[a-z][a-z0-9]*`)
	// lockIdiom marks comments in which "holds" and "held" are said of a lock or a lease, as the field does.
	lockIdiom = regexp.MustCompile(`(?i)\b(mu|mutex|locks?|locked|leases?|leader|leadership)\b`)
)

func withdrawnWords() map[string]bool {
	set := map[string]bool{}
	for _, word := range lines(withdrawnText) {
		set[word] = true
	}
	return set
}

// findAll returns the places of withdrawn words by folder of Go files and by page (Markdown file), relative to the
// root. Each of these has an entry. Testdata, the frozen reference of policy and this program are left out.
func findAll(root string) (map[string][]place, error) {
	places := map[string][]place{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if relative != "." && skipFolder(filepath.ToSlash(relative)) {
				return filepath.SkipDir
			}
			return nil
		}
		isPage := strings.HasSuffix(path, ".md")
		if !isPage && !strings.HasSuffix(path, ".go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		file := filepath.ToSlash(relative)
		if isPage {
			places[file] = findInPage(file, string(text))
			return nil
		}
		folder := filepath.ToSlash(filepath.Dir(relative))
		places[folder] = append(places[folder], findInSource(file, text)...)
		return nil
	})
	return places, err
}

func skipFolder(relative string) bool {
	base := filepath.Base(relative)
	return strings.HasPrefix(base, ".") || base == "testdata" || base == "journal" && relative == "journal" ||
		relative == "policy/internal/reference" || relative == "internal/wordcheck"
}

// findInSource returns the places in one file.
func findInSource(file string, source []byte) []place {
	var places []place
	files := token.NewFileSet()
	tokens := files.AddFile(file, files.Base(), len(source))
	var s scanner.Scanner
	s.Init(tokens, source, nil, scanner.ScanComments)
	for {
		position, tok, literal := s.Scan()
		switch tok {
		case token.EOF:
			return places
		case token.IDENT:
			places = append(places, findInText(file, tokens.Line(position), literal, inIdentifier)...)
		case token.COMMENT:
			places = append(places, findInText(file, tokens.Line(position), literal, inComment)...)
		}
	}
}

// codeSpan is code within a line of a page.
var codeSpan = regexp.MustCompile("`[^`]*`")

// findInPage returns the places in the text of a page. Code counts for nothing, neither in spans nor in blocks: a page
// names settings, wire fields and output as they are spelled.
func findInPage(file, text string) []place {
	var places []place
	inFence := false
	number := 0
	for line := range strings.Lines(text) {
		number++
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			inFence = !inFence
			continue
		}
		if inFence || strings.HasPrefix(line, "    ") {
			continue
		}
		places = append(places, findInText(file, number, codeSpan.ReplaceAllString(line, " "), inPage)...)
	}
	return places
}

// findInText returns the places in an identifier or a comment that begins on a line.
func findInText(file string, line int, text string, where kind) []place {
	var places []place
	aboutLock := where != inIdentifier && lockIdiom.MatchString(text)
	for _, word := range words.FindAllString(capitalsThenWord.ReplaceAllString(text, "$1 $2"), -1) {
		word = strings.ToLower(word)
		if !withdrawn[word] || aboutLock && (word == "holds" || word == "held") {
			continue
		}
		places = append(places, place{file: file, line: line, word: word, kind: where})
	}
	return places
}
