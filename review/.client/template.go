package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// fields are the values of a settings template. Sections over tables are used for their keys and values only.
type fields map[string]any

var (
	openPattern = regexp.MustCompile(`\{\{#([\w.]+)\}\}`)
	gapPattern  = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills a template as DEPLOY.md tells, as far as this project's template needs it.
func render(template string, values fields) string {
	at := openPattern.FindStringSubmatchIndex(template)
	if at == nil {
		return fillGaps(template, values)
	}
	name := template[at[2]:at[3]]
	inner, rest, _ := strings.Cut(template[at[1]:], "{{/"+name+"}}")
	return fillGaps(template[:at[0]], values) + renderSection(name, inner, values) + render(rest, values)
}

// renderSection returns a section once if its value is given, or once for each entry of a table.
func renderSection(name, inner string, values fields) string {
	value, found := values.find(name)
	if !found {
		return ""
	}
	table, isTable := value.(map[string]string)
	if !isTable {
		return render(inner, values)
	}
	var filled strings.Builder
	for key, entry := range table {
		filled.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", entry).Replace(inner))
	}
	return filled.String()
}

func fillGaps(text string, values fields) string {
	return gapPattern.ReplaceAllStringFunc(text, func(gap string) string {
		value, _ := values.find(gapPattern.FindStringSubmatch(gap)[1])
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// find returns the value under a dotted name.
func (f fields) find(name string) (any, bool) {
	var current any = f
	for _, part := range strings.Split(name, ".") {
		switch container := current.(type) {
		case fields:
			next, found := container[part]
			if !found {
				return nil, false
			}
			current = next
		case []int:
			index, err := strconv.Atoi(part)
			if err != nil || index >= len(container) {
				return nil, false
			}
			current = container[index]
		default:
			return nil, false
		}
	}
	return current, true
}
