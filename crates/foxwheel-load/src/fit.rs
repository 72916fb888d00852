//! Slopes from a sweep's rows, by ordinary least squares.

use std::collections::BTreeMap;
use std::path::Path;

use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};

/// Why no slopes could be taken.
#[derive(Debug, thiserror::Error)]
pub enum FitError {
    /// The rows could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A column is not there, or holds something else than numbers.
    #[error("no column `{0}` of numbers")]
    Column(String),
    /// The rows do not determine the slopes.
    #[error("cannot fit: {0}")]
    Regression(#[from] linregress::Error),
}

/// A fitted line `y = intercept + sum(slope * x)`.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// The value at the origin.
    pub intercept: f64,
    /// The slope of each x, in the order asked for.
    pub slopes: Vec<(String, f64)>,
    /// The share of the variance explained.
    pub r_squared: f64,
}

/// The columns of tab-separated rows under a header line; those of numbers only.
pub fn read_columns(path: &Path) -> Result<BTreeMap<String, Vec<f64>>, FitError> {
    let text = std::fs::read_to_string(path).map_err(|source| FitError::Read {
        path: path.display().to_string(),
        source,
    })?;
    let mut lines = text.lines();
    let names: Vec<&str> = lines.next().unwrap_or_default().split('\t').collect();
    let rows: Vec<Vec<&str>> = lines.map(|line| line.split('\t').collect()).collect();
    let column = |i: usize| -> Option<Vec<f64>> {
        let values = rows.iter().map(|row| row.get(i)?.parse().ok());
        values.collect()
    };
    let columns = names.iter().enumerate();
    Ok(columns
        .filter_map(|(i, name)| Some(((*name).to_owned(), column(i)?)))
        .collect())
}

/// The column `name`, or the product of columns for `a*b`.
fn column(columns: &BTreeMap<String, Vec<f64>>, name: &str) -> Result<Vec<f64>, FitError> {
    let mut product: Option<Vec<f64>> = None;
    for factor in name.split('*') {
        let values = columns.get(factor);
        let values = values.ok_or_else(|| FitError::Column(factor.to_owned()))?;
        product = Some(match product {
            None => values.clone(),
            Some(so_far) => so_far.iter().zip(values).map(|(a, b)| a * b).collect(),
        });
    }
    product.ok_or_else(|| FitError::Column(name.to_owned()))
}

/// Fits column `y` to columns `xs`; `a*b` stands for the product of two columns.
pub fn fit(columns: &BTreeMap<String, Vec<f64>>, y: &str, xs: &[String]) -> Result<Fit, FitError> {
    // Plain names for the library, which may not take a product's own.
    let names: Vec<String> = (0..xs.len()).map(|i| format!("x{i}")).collect();
    let mut data = vec![("y".to_owned(), column(columns, y)?)];
    for (name, x) in names.iter().zip(xs) {
        data.push((name.clone(), column(columns, x)?));
    }
    let data = RegressionDataBuilder::new().build_from(data)?;
    let model = FormulaRegressionBuilder::new()
        .data(&data)
        .data_columns("y", names.iter().map(String::as_str))
        .fit()?;
    let slopes = model.iter_parameter_pairs().zip(xs);
    Ok(Fit {
        intercept: model.parameters()[0],
        slopes: slopes.map(|((_, slope), x)| (x.clone(), slope)).collect(),
        r_squared: model.rsquared(),
    })
}
