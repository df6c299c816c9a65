// Wordcheck counts words that this project no longer uses, in identifiers and comments of Go files, and in the
// text of pages. docs/GLOSSARY.md has the term that stands in place of each. Strings and struct tags
// do not count, nor does code in pages: settings and wire forms keep their fields.
//
//	go run ./internal/wordcheck            # fails if a folder or page of clean.txt has such a word
//	go run ./internal/wordcheck -count     # places by folder and page
//	go run ./internal/wordcheck -list DIR  # each place in a folder or page
//
// Start reading at check.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	count := flag.Bool("count", false, "print the number of places by folder and page")
	list := flag.String("list", "", "print each place in this folder or page")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	var report strings.Builder
	places, err := findAll(*root)
	if err == nil {
		switch {
		case *count:
			writeCounts(&report, places)
		case *list != "":
			writePlaces(&report, places[*list])
		default:
			err = check(&report, places, cleanPlaces())
		}
	}
	fmt.Print(report.String())
	if err != nil {
		fmt.Fprintf(os.Stderr, "wordcheck: %v\n", err)
		os.Exit(1)
	}
}

// check reports each place in a folder or page that has to be clean, and returns an error if there is any or if a
// listed folder has no Go files or a listed page does not exist.
func check(report *strings.Builder, places map[string][]place, clean []string) error {
	found := 0
	for _, folder := range clean {
		inFolder, exists := places[folder]
		if !exists {
			return fmt.Errorf("clean.txt: %s is neither a folder with Go files nor a page", folder)
		}
		writePlaces(report, inFolder)
		found += len(inFolder)
	}
	if found > 0 {
		return fmt.Errorf("%d places with withdrawn words: docs/GLOSSARY.md has the terms", found)
	}
	return nil
}

func writePlaces(report *strings.Builder, places []place) {
	for _, p := range places {
		fmt.Fprintf(report, "%s:%d: %q in %s\n", p.file, p.line, p.word, p.kind)
	}
}

func writeCounts(report *strings.Builder, places map[string][]place) {
	folders := make([]string, 0, len(places))
	for folder := range places {
		folders = append(folders, folder)
	}
	slices.Sort(folders)
	total := map[kind]int{}
	for _, folder := range folders {
		byKind := map[kind]int{}
		for _, p := range places[folder] {
			byKind[p.kind]++
			total[p.kind]++
		}
		writeCount(report, folder, byKind)
	}
	writeCount(report, "all", total)
}

func writeCount(report *strings.Builder, name string, count map[kind]int) {
	fmt.Fprintf(report, "%-32s %5d identifiers %5d in comments %5d in pages\n", name, count[inIdentifier], count[inComment], count[inPage])
}
