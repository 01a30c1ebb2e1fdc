# Writes a C++ file that contains the text of each chart:
# cmake -DCHARTS=FOLDER -DOUTPUT=FILE -P embed_charts.cmake
file(GLOB charts ${CHARTS}/*.toml)
list(SORT charts)
set(rows "")
foreach(chart ${charts})
  get_filename_component(name ${chart} NAME_WE)
  file(READ ${chart} text)
  string(APPEND rows "    {\"${name}\", R\"chart(${text})chart\"},\n")
endforeach()
file(WRITE ${OUTPUT} "#include \"statechart/embedded.h\"

namespace kingcupseam::statechart {

const std::vector<embedded_text>& embedded_texts() {
    static const std::vector<embedded_text> texts{
${rows}    };
    return texts;
}

} // namespace kingcupseam::statechart
")
